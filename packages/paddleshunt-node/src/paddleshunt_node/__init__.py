"""The daemon: sockets, threads, HTTP, logs and metrics around the core's decisions."""
