"""State machines of the dispatcher, without any input or output.

Each machine takes the time and a message and returns effects. Nothing here reads a clock, opens a
socket or file, starts a thread or uses unseeded randomness; the caller supplies all of these.
"""
