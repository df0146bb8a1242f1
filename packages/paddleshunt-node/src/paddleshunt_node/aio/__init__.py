"""Processes for leased jobs: one asyncio loop each, around `paddleshunt_core.leased`.

They use no threads of `cheroot`, `urllib3` or `pynng`, as these don't suit deferred responses and
the detection of disconnected callers and half-open connections; see docs/design/platform.md.
"""
