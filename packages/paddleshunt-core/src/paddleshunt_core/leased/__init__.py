"""Jobs whose callers choose the key and wait for the answer, and whose tasks run under leases.

An entry owns each job that it accepts, as long as the caller's connection lasts (`dispatcher`); a
target controls the one runner on its host (`worker`). The two exchange messages in a session
(`session`), which is itself a lease. docs/design/platform.md explains why no task runs twice at
once.
"""
