"""Processes for leased jobs: one asyncio loop each, around `paddleshunt_core.leased`.

Held callers, callers that leave and links that go half-open are why these do not use the threads
of `cheroot`, `urllib3` and `pynng`; docs/design/platform.md has the measurements.
"""
