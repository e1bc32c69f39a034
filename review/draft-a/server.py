"""A plain backend server in a process of its own; its answers have no length.

It follows the page: each answer bears the seal, has neither a length nor chunks and
ends with its connection.  It logs each run to its standard output.  The body comes in
two parts, `GAP_S` apart, as the work proceeds.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import stand_ins

GAP_S = 0.15
PART_BYTES = 400


def whole_body(request_id: str) -> bytes:
    """Return the whole body of the answer to a request."""
    first = f"{request_id} first ".encode().ljust(PART_BYTES, b"a")
    second = f"{request_id} last ".encode().ljust(PART_BYTES, b"z")
    return first + second


def head(request_id: str) -> bytes:
    """Return the head of an answer that ends with its connection."""
    lines = [
        "HTTP/1.1 200 OK",
        f"Request-Id: {request_id}",
        f"Server-Seal: 3e1b.07.{request_id}",
        "Connection: close",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Run one request and end the connection with its answer."""
    server_id = sys.argv[1]
    try:
        request = await stand_ins.read_head(reader)
        await stand_ins.read_body(reader, request)
        request_id = request.headers.get("request-id", "")
        expected = request.headers.get("expect-instance", server_id)
        if expected != server_id:
            refusal = {"Not-Executed": "1", "Instance-Id": server_id}
            writer.write(stand_ins.encode_answer(421, refusal, b""))
            return
        print(f"{stand_ins.now_ms():.1f} run {request_id}", flush=True)
        body = whole_body(request_id)
        writer.write(head(request_id) + body[:PART_BYTES])
        await writer.drain()
        await asyncio.sleep(GAP_S)
        writer.write(body[PART_BYTES:])
        await writer.drain()
        print(f"{stand_ins.now_ms():.1f} whole {request_id}", flush=True)
    except (EOFError, OSError):
        pass
    finally:
        writer.close()


async def main() -> None:
    """Serve on a loopback port until the process is killed."""
    port = int(sys.argv[2])
    listener = await asyncio.start_server(serve, stand_ins.LOOPBACK, port)
    print(f"listening {listener.sockets[0].getsockname()[1]}", flush=True)
    await listener.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
