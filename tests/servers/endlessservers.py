#!/usr/bin/env python3
"""Servers that send bytes without end, against real relay processes on loopback addresses.

Usage: endlessservers.py PROGRAM [--form NAME]... [--server NAME]... [--requests N] [--memory-mb N]

Each case starts two nodes. From then on one server of the first node, its upstream, another node or the store, answers
every request with bytes that do not end until the node closes the connection. It checks what does not depend on the
machine's speed:
- the process lives;
- its resident memory, with the bytes that its sockets have received and it has not read, stays under --memory-mb;
- while the server goes on, ordinary requests are answered; once it has ended, also those that need the server.
Exit code 1 if a check failed.
"""
import argparse
import asyncio
import base64
import json
import os
import pathlib
import resource
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "soak"))
import soak  # noqa: E402
from wire import call  # noqa: E402

SERVERS = ["upstream", "node", "store"]
PLAY_SECONDS = 5
DEADLINE_MS = 2000
TRIES = 12  # Of an ordinary caller, which repeats a failed request.
ENTRY_PREFIX = "geraniumsail/nodes/"
OK = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
JSON_BODY = OK + b"Content-Type: application/json\r\nContent-Length: 7900000\r\n\r\n"

# Form: what the server sends first, what it repeats without end, whether it pauses after each repetition.
FORMS = {
    "junk": (b"", b"\x01" * 65536, False),
    "empty-lines": (b"", b"\r\n" * 32768, False),
    "head-without-end": (OK + b"X-Filler: ", b"f" * 65536, False),
    "fields-without-end": (OK, (b"X-Filler: " + b"f" * 1000 + b"\r\n") * 64, False),
    "fields-one-by-one": (OK, b"X-Filler: " + b"f" * 2036 + b"\r\n", True),
    "status-line-without-end": (b"HTTP/1.1 200 ", b"f" * 65536, False),
    "interim-answers": (b"", b"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" * 1000, False),
    "answers-to-others": (b"", b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 60000\r\n\r\n" + b"b" * 60000,
                          False),
    "body-without-length": (OK + b"\r\n", b"b" * 65536, False),
    "huge-length": (OK + b"Content-Length: 1000000000000\r\n\r\n", b"b" * 65536, False),
    "long-chunks": (CHUNKED, b"ea60\r\n" + b"b" * 60000 + b"\r\n", False),
    "one-byte-chunks": (CHUNKED, b"1\r\nb\r\n" * 10000, False),
    "chunk-size-without-end": (CHUNKED, b"0" * 65536, False),
    "chunk-extension-without-end": (CHUNKED + b"1;x=", b"f" * 65536, False),
    "trailers-without-end": (CHUNKED + b"1\r\nb\r\n0\r\n", (b"X-Filler: " + b"f" * 1000 + b"\r\n") * 64, False),
    "trailers-one-by-one": (CHUNKED + b"1\r\nb\r\n0\r\n", b"X-Filler: " + b"f" * 2036 + b"\r\n", True),
    "nested-json": (JSON_BODY, b"[" * 65536, False),
    "nested-json-objects": (JSON_BODY, b'{"a":' * 13000, False),
    "json-of-empty-arrays": (JSON_BODY + b"[", b"[]," * 21000, False),
    "json-of-numbers": (JSON_BODY + b"[", b"0," * 32000, False),
}


class EndlessServer:
    """Answers every request with bytes without end."""

    def __init__(self, form):
        self.first, self.filler, self.pauses = FORMS[form]
        self.requests = 0
        self.sent = 0
        self.tasks = set()

    async def start(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = self.server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            request = next((line.partition(b": ")[2] for line in head.split(b"\r\n")
                            if line.lower().startswith(b"request-id:")), b"x")
            writer.write(self.first.replace(b"%s", request))
            while True:
                writer.write(self.filler)
                await writer.drain()
                self.sent += len(self.filler)
                await asyncio.sleep(0.0005 if self.pauses else 0)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.transport.abort()

    def stop(self):
        self.server.close()
        for task in self.tasks:
            task.cancel()


def configuration():
    def rule(name):
        return {"name": name, "prefix": f"/{name}/", "route_type": "safe", "timeout": "2500ms",
                "target_latency": "1500ms", "priority": 1, "service": name, "max_attempts": 2}

    return json.dumps({"version": "r7", "services": [{"name": s, "max_connections": 400} for s in soak.SERVICES],
                       "limits": {}, "virtual_hosts": [{"host": "a.example",
                                                        "path_rules": [rule(s) for s in soak.SERVICES]}]})


class Case:
    def __init__(self, arguments, server, form):
        self.arguments, self.server_name, self.form = arguments, server, form
        self.problems = []
        self.ended = False
        self.peak = 0
        self.fleet = soak.Soak(os.path.abspath(arguments.program), 0, 0, 0)
        # Different addresses, so that the unread bytes of the first node can be told apart.
        self.fleet.nodes = [soak.Node(self.fleet, 0)]
        self.fleet.host, self.host = self.fleet.host[:-1] + "2", self.fleet.host
        self.fleet.nodes.append(soak.Node(self.fleet, 1))
        self.node, self.other = self.fleet.nodes  # The services "books" and "charts".
        self.server = EndlessServer(form)

    async def run(self):
        try:
            await self.fleet.store.start(self.fleet.random)
            self.fleet.store.put("op/config", configuration())
            await self.server.start("127.0.0.1")
            for node in self.fleet.nodes:
                node.upstream.slots = 200
                await node.start()
            await asyncio.sleep(2.5)
            sampler = asyncio.create_task(self.sample())
            await self.divert()
            requests = [asyncio.create_task(self.request(i)) for i in range(self.arguments.requests)]
            await asyncio.sleep(PLAY_SECONDS)
            if self.server.requests == 0:
                self.problems.append("the node sent nothing to the server")
            await self.check("while the server goes on", ["books"] if self.server_name == "node" else ["charts"])
            await self.restore()
            await self.check("afterwards", ["books", "charts"])
            if self.node.process.returncode is not None:
                self.problems.append(f"the process ended with code {self.node.process.returncode}")
            self.ended = True
            sampler.cancel()
            await asyncio.gather(sampler, *requests, return_exceptions=True)
        finally:
            self.server.stop()
            for node in self.fleet.nodes:
                if node.process and node.process.returncode is None:
                    node.ending = True
                    node.process.send_signal(signal.SIGKILL)
                    await node.process.wait()
            for task in self.fleet.tasks:
                task.cancel()
        if self.peak > self.arguments.memory_mb * 1_000_000:
            self.problems.append(f"over {self.arguments.memory_mb} MB")
        print(f"{'FAILED' if self.problems else 'ok':6} {self.form} by the {self.server_name}: memory with unread bytes "
              f"{self.peak / 1e6:.0f} MB, requests {self.server.requests}, sent {self.server.sent / 1e6:.0f} MB "
              f"{'; '.join(self.problems)}", flush=True)
        return not self.problems

    async def divert(self):
        """Puts the endless server in the place of the real one."""
        if self.server_name == "upstream":
            self.node.to_upstream.target = self.server.address
            self.node.to_upstream.reset()
        elif self.server_name == "store":
            self.node.to_store.target = self.server.address
            self.node.to_store.reset()
        else:
            # The process would write its entry again.
            await self.other.end(signal.SIGKILL)
            item = self.fleet.store.items[ENTRY_PREFIX + self.other.name]
            entry = {**json.loads(base64.b64decode(item["value"])), "peer": soak.text(self.server.address)}
            self.fleet.store.put(item["key"], json.dumps(entry), item["lease"])

    async def restore(self):
        self.server.stop()
        if self.server_name == "upstream":
            self.node.to_upstream.target = self.node.upstream.address
        elif self.server_name == "store":
            self.node.to_store.target = self.fleet.store.address
        else:
            await self.other.launch()

    async def request(self, number):
        """Repeats a request that reaches the server, until the case ends."""
        path = "/charts/x" if self.server_name == "node" else "/books/x"
        while not self.ended:
            await call(self.node.caller, "GET", path, {"Host": "a.example", "Deadline-Ms": str(DEADLINE_MS),
                                                       "Request-Id": f"endless-{number}"}, b"", 3)
            await asyncio.sleep(0.05)

    async def check(self, when, services):
        for service in services:
            for attempt in range(TRIES):
                answer = await call(self.node.caller, "GET", f"/{service}/y",
                                    {"Host": "a.example", "Deadline-Ms": str(DEADLINE_MS),
                                     "Request-Id": f"ordinary-{attempt}"}, b"", 3)
                if answer and " 200 " in answer.start:
                    break
                await asyncio.sleep(0.5)
            else:
                self.problems.append(f"a request for {service} {when} got {answer and answer.start}")

    async def sample(self):
        process = pathlib.Path("/proc") / str(self.node.process.pid)
        while self.node.process.returncode is None:
            try:
                resident = int((process / "statm").read_text().split()[1]) * resource.getpagesize()
                status = (process / "status").read_text()
            except (FileNotFoundError, ProcessLookupError):
                break
            peak = int(status.split("VmHWM:")[1].split()[0]) * 1024 if "VmHWM:" in status else 0
            self.peak = max(self.peak, peak, resident + self.unread_bytes(process))
            await asyncio.sleep(0.1)

    @staticmethod
    def unread_bytes(process):
        """What the sockets of the process have received and it has not read."""
        inodes = set()
        for descriptor in (process / "fd").iterdir():
            try:
                target = os.readlink(descriptor)
            except FileNotFoundError:
                continue
            if target.startswith("socket:["):
                inodes.add(target[8:-1])
        total = 0
        with open("/proc/net/tcp", encoding="ascii") as table:
            next(table)
            for line in table:
                fields = line.split()
                # The field of a listening socket counts connections instead of bytes.
                if fields[9] in inodes and fields[3] != "0A":
                    total += int(fields[4].split(":")[1], 16)
        return total


async def run_cases(arguments):
    failed = 0
    for server in arguments.server or SERVERS:
        for form in arguments.form or FORMS:
            failed += not await Case(arguments, server, form).run()
    return failed


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("program")
    parser.add_argument("--form", action="append", choices=FORMS, help="all by default")
    parser.add_argument("--server", action="append", choices=SERVERS, help="all by default")
    parser.add_argument("--requests", type=int, default=40, help="that reach the server at the same time")
    parser.add_argument("--memory-mb", type=int, default=160, help="of the smallest VM")
    failed = asyncio.run(run_cases(parser.parse_args()))
    print(f"{failed} cases failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
