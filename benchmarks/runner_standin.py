"""A runner that sleeps for as long as each task says; one process stands for all runners.

Its task is `{"ms": 120}`. It counts nothing and logs nothing, so that it costs little.
"""

import asyncio
import json
import sys


async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
            body = await reader.readexactly(length)
            await asyncio.sleep(json.loads(body)["ms"] / 1000)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length + body)
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def main(port: int) -> None:
    """Serve on loopback until ended."""
    server = await asyncio.start_server(_serve, "127.0.0.1", port, backlog=1024)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1])))
