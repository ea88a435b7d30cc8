"""Minimal HTTP/1.1 over asyncio streams, and a loopback proxy that harms connections. For the soak only."""
import asyncio

HEAD_LIMIT = 64 * 1024


class Message:
    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name):
        return self.headers.get(name.lower(), "")


async def read_message(reader):
    """The next whole message, or None at the end of the connection. Raises on a truncated one."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("truncated head") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(lines[0], headers, body)


def encode(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()] + [f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, target, headers, body=b"", timeout=2.0):
    """One exchange on a new connection; None if it failed."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(encode(f"{method} {target} HTTP/1.1", headers, body))
            return await read_message(reader)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


class Proxy:
    """Forwards one listener to one target. mode: pass, delay, refuse, silent, silent_back (answers are held back), lose (an
    answer is lost, and its connection passes nothing on for good)."""

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.delay_seconds = 0.15
        self.connections = set()
        self.dead = set()  # Connections that stay open and pass nothing on.
        self.writers = set()
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=HEAD_LIMIT)
        self.address = server.sockets[0].getsockname()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def silence(self):
        """From now on nothing passes on the connections that are open, without a reset."""
        self.dead |= self.connections

    async def _serve(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            back_reader, back_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, back_writer}
        connection = object()
        self.connections.add(connection)
        tasks = [asyncio.create_task(self._pump(connection, reader, back_writer, "there")),
                 asyncio.create_task(self._pump(connection, back_reader, writer, "back"))]
        await asyncio.wait(tasks)
        self.writers -= {writer, back_writer}
        self.connections.discard(connection)
        self.dead.discard(connection)

    async def _pump(self, connection, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                if self.mode == "lose" and direction == "back":
                    self.dead.add(connection)
                if connection in self.dead:
                    continue
                while self.mode == "silent" or (self.mode == "silent_back" and direction == "back"):
                    await asyncio.sleep(0.02)
                if self.mode == "delay":
                    await asyncio.sleep(self.delay_seconds)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        writer.close()
