"""Jobs whose callers choose the key and wait, and whose tasks run under leases.

An entry is the home of each job that it takes, for as long as the caller's connection lives
(`dispatcher`); a target gives orders to the one runner beside it (`worker`). What the two tell one
another travels in a session (`session`), which is itself a lease. docs/design/platform.md says why
no task runs twice at once.
"""
