#!/usr/bin/env python3
"""Clients that send input without end or hold connections, against real relay processes on loopback addresses.

Usage: hostileclients.py PROGRAM [--form NAME]... [--listener NAME]... [--crowd N] [--memory-mb N] [--descriptors N]

Each case starts two nodes and a crowd that misbehaves on one listener of the first node, or on all five. It checks what
does not depend on the machine's speed:
- the process lives;
- its resident memory, with the bytes that its sockets have received and it has not read, stays under --memory-mb;
- its open descriptors stay under --descriptors less those reserved for files;
- while the crowd holds its connections, an ordinary request is answered through each listener.
Exit code 1 if a check failed.
"""
import argparse
import asyncio
import json
import os
import pathlib
import resource
import signal
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "soak"))
import soak  # noqa: E402
from wire import call  # noqa: E402

LISTENERS = ["caller", "peer", "announce", "ready", "metrics"]
RESERVED_DESCRIPTORS = 200  # For files; sockets and pipes share the others.
FILLER_BYTES = 256 * 1024  # That one connection sends at most.
CONNECTIONS_EACH = 3  # That one member of the crowd opens, if the node closes them.
SETTLE_SECONDS = 12  # Bound for members that the node neither reads nor closes.
TRIES = 6  # Of an ordinary caller, which repeats a refused request.
HEAD_BYTES = 16384  # The operator's limit.
HEAD = b"POST /books/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nDeadline-Ms: 50000\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

# Form: what a member sends first, what it repeats without end (nothing: it waits).
FORMS = {
    "silent": (b"", b""),
    "stalled-head": (b"GET /books/x HTTP/1.1\r\nHost: a.ex", b""),
    "head-without-end": (HEAD + b"X-Filler: ", b"f" * 4096),
    "fields-without-end": (HEAD, b"X-Filler: " + b"f" * 1000 + b"\r\n"),
    "head-at-the-limit": (HEAD + b"X-Filler: " + b"f" * (HEAD_BYTES - 400), b""),
    "head-over-the-limit": (HEAD + b"X-Filler: " + b"f" * 60000, b""),
    "empty-lines": (b"", b"\r\n" * 2048),
    "chunk-line-without-end": (CHUNKED + b"1;x=", b"f" * 4096),
    "chunk-size-without-end": (CHUNKED, b"0" * 4096),
    "trailers-without-end": (CHUNKED + b"1\r\nb\r\n0\r\n", b"X-Filler: " + b"f" * 1000 + b"\r\n"),
    "stalled-body": (HEAD + b"Content-Length: 65000\r\n\r\n" + b"b" * 60000, b""),
    "bodies-in-progress": (HEAD + b"Content-Length: 65000\r\n\r\n" + b"b" * 65000, b""),
    "long-body-without-end": (HEAD + b"Content-Length: 67108864\r\n\r\n", b"b" * 65536),
    "pipelined-bytes": (HEAD + b"Content-Length: 1\r\n\r\nb", b"p" * 4096),
    "pipelined-requests": (b"", HEAD + b"Content-Length: 1\r\n\r\nb"),
}


def configuration():
    def rule(name, service):
        return {"name": name, "prefix": f"/{name}/", "route_type": "safe", "timeout": "60s", "target_latency": "50s",
                "priority": 1, "service": service, "max_attempts": 2}

    return json.dumps({"version": "r7", "services": [{"name": s, "max_connections": 400} for s in soak.SERVICES],
                       "limits": {"max_header_bytes": HEAD_BYTES, "max_body_bytes": 67108864,
                                  "header_timeout": "3000ms", "idle_timeout": "15000ms"},
                       "virtual_hosts": [{"host": "a.example", "path_rules": [rule(s, s) for s in soak.SERVICES]}]})


class Node(soak.Node):
    """A node whose process may open a limited number of descriptors, and knows the limits of its VM."""

    limits = None

    async def launch(self):
        settings = json.loads(self.settings.read_text())
        self.settings.write_text(json.dumps({**settings, "limits": self.limits}))
        await self.start_process()
        try:
            # Programs before this setting was known refuse it.
            await asyncio.wait_for(self.process.wait(), 0.5)
            self.settings.write_text(json.dumps(settings))
            await self.start_process()
        except asyncio.TimeoutError:
            pass

    async def start_process(self):
        descriptors = self.limits["descriptors"]
        with open(self.soak.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.soak.program, "--settings", str(self.settings), stdout=log, stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors)))


def unread_bytes(host):
    """What the sockets of an address have received and their process has not read."""
    address = "%08X" % int.from_bytes(socket.inet_aton(host), sys.byteorder)
    total = 0
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table:
            fields = line.split()
            # The field of a listening socket counts connections instead of bytes.
            if fields[1].startswith(address + ":") and fields[3] != "0A":
                total += int(fields[4].split(":")[1], 16)
    return total


class Case:
    def __init__(self, arguments, form, listeners):
        self.arguments, self.form, self.listeners = arguments, form, listeners
        self.problems = []
        self.peak_memory = self.peak_resident = self.peak_descriptors = 0
        self.sent = 0
        Node.limits = {"memoryMb": arguments.memory_mb, "descriptors": arguments.descriptors}
        self.fleet = soak.Soak(os.path.abspath(arguments.program), 0, 0, 0)
        # Two nodes with different addresses, so that the unread bytes of the first can be told apart.
        self.fleet.nodes = [Node(self.fleet, 0)]
        self.fleet.host, self.host = self.fleet.host[:-1] + "2", self.fleet.host
        self.fleet.nodes.append(Node(self.fleet, 1))
        self.node, self.other = self.fleet.nodes

    async def run(self):
        self.node.upstream.slots = 300
        self.node.upstream.held = asyncio.Event()
        try:
            await self.fleet.store.start(self.fleet.random)
            self.fleet.store.put("op/config", configuration())
            for node in self.fleet.nodes:
                await node.start()
            await asyncio.sleep(2.5)
            sampler = asyncio.create_task(self.sample())
            members = [asyncio.create_task(self.member(getattr(self.node, listener), f"{listener}-{i}".encode()))
                       for listener in self.listeners for i in range(self.arguments.crowd)]
            await asyncio.wait(members, timeout=SETTLE_SECONDS)
            self.node.upstream.held.set()
            await self.check_ordinary_requests()
            if self.node.process.returncode is not None:
                self.problems.append(f"the process ended with code {self.node.process.returncode}")
            for task in [sampler, *members]:
                task.cancel()
            await asyncio.gather(sampler, *members, return_exceptions=True)
        finally:
            for node in self.fleet.nodes:
                if node.process and node.process.returncode is None:
                    node.process.send_signal(signal.SIGKILL)
                    await node.process.wait()
            for task in self.fleet.tasks:
                task.cancel()
        sockets = self.arguments.descriptors - RESERVED_DESCRIPTORS
        if self.peak_memory > self.arguments.memory_mb * 1_000_000:
            self.problems.append(f"memory {self.peak_memory / 1e6:.0f} MB over {self.arguments.memory_mb} MB")
        if self.peak_descriptors > sockets:
            self.problems.append(f"{self.peak_descriptors} descriptors over {sockets}")
        print(f"{'FAILED' if self.problems else 'ok':6} {self.form} on {','.join(self.listeners)}: "
              f"resident {self.peak_resident / 1e6:.0f} MB, with unread bytes {self.peak_memory / 1e6:.0f} MB, "
              f"descriptors {self.peak_descriptors}, sent {self.sent / 1e6:.0f} MB {'; '.join(self.problems)}",
              flush=True)
        return not self.problems

    async def sample(self):
        process = pathlib.Path("/proc") / str(self.node.process.pid)
        while self.node.process.returncode is None:
            try:
                resident = int((process / "statm").read_text().split()[1]) * resource.getpagesize()
                self.peak_resident = max(self.peak_resident, resident)
                self.peak_memory = max(self.peak_memory, resident + unread_bytes(self.host))
                self.peak_descriptors = max(self.peak_descriptors, len(os.listdir(process / "fd")))
            except (FileNotFoundError, ProcessLookupError):
                break
            await asyncio.sleep(0.1)

    async def member(self, address, name):
        """Opens connections and misbehaves on them. The last one stays open until the end of the case."""
        for count in range(CONNECTIONS_EACH):
            try:
                reader, writer = await asyncio.open_connection(*address)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                first, filler = (part.replace(b"%s", name + b"-%d" % count) for part in FORMS[self.form])
                writer.write(first)
                await writer.drain()
                amount = 0
                while filler and amount < FILLER_BYTES:
                    block = filler * (1 + 4096 // len(filler))
                    writer.write(block)
                    await writer.drain()
                    amount += len(block)
                    self.sent += len(block)
                    await asyncio.sleep(0.005)
                while await reader.read(4096):
                    pass
            except OSError:
                pass
            finally:
                writer.transport.abort()

    async def check_ordinary_requests(self):
        request = {"Host": "a.example", "Deadline-Ms": "4000"}
        beat = json.dumps({"service": "x"}).encode()
        asks = [("a caller's request to the own upstream", self.node.caller, "GET", "/books/y", request, b"", "200"),
                ("a caller's request to another node", self.node.caller, "GET", "/charts/y", request, b"", "200"),
                ("another node's request", self.other.caller, "GET", "/books/y", request, b"", "200"),
                ("a readiness check", self.node.ready, "GET", "/ready", {"Host": "n"}, b"", "200"),
                ("a report", self.node.announce, "POST", "/rpc?call=instances.heartbeat&of=x", {"Host": "n"}, beat,
                 "400"),
                ("a request for metrics", self.node.metrics, "GET", "/metrics", {"Host": "n"}, b"", "200")]
        for what, address, method, target, headers, body, wanted in asks:
            status = None
            for attempt in range(TRIES):
                answer = await call(address, method, target, {**headers, "Request-Id": f"ordinary-{attempt}"}, body, 3)
                status = answer and answer.start.split(" ")[1]
                if status == wanted:
                    break
                await asyncio.sleep(0.3)
            if status != wanted:
                self.problems.append(f"{what} got {status}")


async def run_cases(arguments):
    listeners = [[name] for name in arguments.listener] or [LISTENERS]
    failed = 0
    for form in arguments.form or FORMS:
        for names in listeners:
            failed += not await Case(arguments, form, names).run()
    return failed


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("program")
    parser.add_argument("--form", action="append", choices=FORMS, help="all by default")
    parser.add_argument("--listener", action="append", choices=LISTENERS, default=[], help="all together by default")
    parser.add_argument("--crowd", type=int, default=300, help="members for each listener")
    parser.add_argument("--memory-mb", type=int, default=64)
    parser.add_argument("--descriptors", type=int, default=1100)
    failed = asyncio.run(run_cases(parser.parse_args()))
    print(f"{failed} cases failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
