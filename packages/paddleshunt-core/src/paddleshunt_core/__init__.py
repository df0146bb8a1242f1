"""Decisions of the dispatcher as state machines that do no input or output.

Each machine takes the time and a message and returns effects. Nothing here reads a clock, opens a
socket or file, starts a thread or draws from unseeded randomness; the caller supplies all of these.
"""
