#!/usr/bin/env python3
"""Randomized fault soak of relay nodes: real processes, faults from outside, promises checked from both ends.

Usage: soak.py PROGRAM [--seed N] [--seconds S] [--nodes N]

Checks while it runs and at the end:
- a success carries the upstream's signature and the whole body of its own request;
- a request that may not be repeated runs at most once;
- a request answered 408, 421, 429 or 503 has not run and does not run later;
- a request runs only on a service that a published configuration allows for its route;
- an upstream gets nothing 2.5 s after its leaving was acknowledged;
- after the faults have ended, nine of ten requests are served within 5 s, by the newest configuration.
Only processes started here are signalled, by their ids. Exit code 1 on a broken promise, with the seed.
"""
import argparse
import asyncio
import collections
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

from standins import Store, Upstream
from wire import Proxy, encode, read_message

NOT_RUN = {"408", "421", "429", "503"}
SERVICES = ["books", "charts"]
RECOVERY_SECONDS = 5
ATTEMPT_SECONDS = 3
PORTS = iter(range(10000, 32000))


def free_address(host):
    """A port of an address that belongs to this run alone, so that runs side by side cannot take each other's ports. It
    lies below the range from which the system takes ports for outgoing connections: a node that connects to another one
    could else take the port of a third that is not started yet."""
    for port in PORTS:
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return probe.getsockname()


def text(address):
    return "%s:%d" % address


def configuration(version, safe_service, more_safe=()):
    """more_safe: further prefixes of repeatable requests."""
    def rule(name, prefix, kind, service):
        return {"name": name, "prefix": prefix, "route_type": kind, "timeout": "1500ms", "target_latency": "800ms",
                "priority": 1, "service": service, "max_attempts": 2}

    return json.dumps({"version": f"r{version}",
                       "services": [{"name": s, "max_connections": 50} for s in SERVICES], "limits": {},
                       "virtual_hosts": [{"host": "a.example",
                                          "path_rules": [rule("safe", "/safe/", "safe", safe_service),
                                                         rule("once", "/once/", "unsafe", "books")]
                                          + [rule(p.strip("/"), p, "safe", safe_service) for p in more_safe]}]})


class Node:
    """One relay process with its upstream and the proxies on its way to upstream and store."""

    def __init__(self, soak, index):
        self.soak = soak
        self.name = f"n{index}"
        self.upstream = Upstream(self.name, SERVICES[index % len(SERVICES)], soak.random, soak.ran)
        self.zone = f"z{index % soak.zones}"
        self.process = None
        self.program = None  # If not that of the soak.
        self.settings = soak.folder / f"{self.name}.json"
        self.caller, self.peer, self.ready, self.announce, self.metrics = (free_address(soak.host) for _ in range(5))

    async def start(self):
        await self.upstream.start()
        self.to_upstream = Proxy(self.upstream.address)
        await self.to_upstream.start()
        self.to_store = Proxy(self.soak.store.address)
        await self.to_store.start()
        self.upstream.reported_address = self.to_upstream.address
        self.upstream.announce = self.announce
        self.settings.write_text(json.dumps({
            "node": self.name, "region": "r", "dataCentre": self.zone, "service": self.upstream.service,
            "upstream": text(self.to_upstream.address), "store": text(self.to_store.address),
            "listen": {"caller": text(self.caller), "peer": text(self.peer), "ready": text(self.ready),
                       "announce": text(self.announce), "metrics": text(self.metrics)}, "stopGrace": "6s"}))
        await self.launch()
        self.reporting = asyncio.create_task(self.upstream.report())
        self.soak.tasks.append(self.reporting)

    async def launch(self):
        log = open(self.soak.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(self.program or self.soak.program, "--settings",
                                                            str(self.settings), stdout=log, stderr=log)
        log.close()
        self.ending = False
        self.soak.tasks.append(asyncio.create_task(self.watch(self.process)))

    async def watch(self, process):
        code = await process.wait()
        if not self.ending:
            self.soak.broken(f"{self.name} ended by itself with code {code}")

    async def end(self, number, grace=7):
        """Signals the process and waits for its end; kills it after the grace time."""
        self.ending = True
        if self.process.returncode is None:
            self.process.send_signal(number)
            try:
                await asyncio.wait_for(self.process.wait(), grace)
            except asyncio.TimeoutError:
                self.soak.broken(f"{self.name} outlived its grace time after signal {number}")
                self.process.kill()
                await self.process.wait()


class Soak:
    def __init__(self, program, seed, seconds, nodes, zones=1):
        self.zones = zones
        self.program = program
        self.seed = seed
        self.seconds = seconds
        self.random = random.Random(seed)
        self.host = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.1"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
        self.store = Store()
        self.ran = {}
        self.answers = {}
        self.statuses = collections.Counter()
        self.problems = []
        self.tasks = []
        self.nodes = [Node(self, index) for index in range(nodes)]
        self.version = 1
        self.allowed = {"/safe/": set(), "/once/": {"books"}}
        self.busy = set()

    def broken(self, problem):
        self.problems.append(problem)
        print(f"seed={self.seed} broken: {problem}", flush=True)

    def publish(self):
        self.version += self.random.randint(1, 3)
        self.service = self.random.choice(SERVICES)
        self.allowed["/safe/"].add(self.service)
        self.store.put("op/config", configuration(self.version, self.service))

    async def client(self, node, number, stop_at):
        """Sends requests on a kept connection and uses it until it ends."""
        connection = None
        count = 0
        while time.monotonic() < stop_at:
            count += 1
            once = self.random.random() < 0.4
            request = f"{number}-{count}-{self.seed}"
            try:
                if connection is None:
                    connection = await asyncio.wait_for(asyncio.open_connection(*node.caller), 1)
                status = await asyncio.wait_for(self.exchange(connection, request, once), ATTEMPT_SECONDS)
            except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                status = "lost"
            if status.endswith("close") or status == "lost":
                if connection:
                    connection[1].close()
                connection = None
            self.answers[request] = (status.split(" ")[0], once)
            self.statuses[status.split(" ")[0]] += 1
            await asyncio.sleep(self.random.uniform(0.01, 0.08))
        if connection:
            connection[1].close()

    async def exchange(self, connection, request, once):
        reader, writer = connection
        start = f"{'POST /once/' if once else 'GET /safe/'}x HTTP/1.1"
        writer.write(encode(start, {"Host": "a.example", "Request-Id": request, "Deadline-Ms": "2000"},
                            b"body" if once else b""))
        await writer.drain()
        answer = await read_message(reader)
        if answer is None:
            return "lost"
        status = answer.start.split(" ")[1]
        if status.startswith("2"):
            bodies = {(f"{request} by {service}" * 20).encode() for service in SERVICES}
            if not answer.get("server-signature") or answer.body not in bodies:
                self.broken(f"request {request} got a success that is not its own")
        return status + (" close" if answer.get("connection").lower() == "close" else "")

    async def fault(self):
        """One fault, with its end. Faults overlap, but one node has one process fault at a time."""
        kind = self.random.choice(["term", "kill", "pause", "publish", "storm", "store_down", "store_lost", "compact",
                                   "revoke", "cut_store", "cut_upstream", "reset", "drain", "slow", "lose", "reborn"])
        node = self.random.choice(self.nodes)
        span = self.random.uniform(0.3, 2.5)
        exclusive = kind in ("term", "kill", "pause", "drain", "reborn")
        if exclusive:
            if node in self.busy:
                return
            self.busy.add(node)
        if kind in ("term", "kill"):
            await node.end(signal.SIGTERM if kind == "term" else signal.SIGKILL)
            await asyncio.sleep(span / 4)
            await node.launch()
        elif kind == "pause" and node.process.returncode is None:
            node.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(span)
            node.process.send_signal(signal.SIGCONT)
        elif kind == "publish":
            self.publish()
        elif kind == "storm":
            for _ in range(5):
                self.publish()
                await asyncio.sleep(0.1)
        elif kind == "store_down":
            self.store.refuse = True
            await asyncio.sleep(span)
            self.store.refuse = False
        elif kind == "store_lost":
            self.store.lose_answers = 0.5
            await asyncio.sleep(span)
            self.store.lose_answers = 0.0
        elif kind == "compact":
            self.store.compact()
        elif kind == "revoke":
            self.store.revoke()
        elif kind in ("cut_store", "cut_upstream"):
            proxy = node.to_store if kind == "cut_store" else node.to_upstream
            proxy.mode = self.random.choice(["silent", "silent_back", "delay", "refuse"])
            await asyncio.sleep(span)
            proxy.mode = "pass"
        elif kind == "reset":
            self.random.choice([node.to_store, node.to_upstream]).reset()
        elif kind == "drain":
            node.upstream.state = "draining"
            await asyncio.sleep(4)
            node.upstream.restart()
        elif kind == "reborn":
            node.upstream.restart()
        elif kind == "slow":
            node.upstream.slow = True
            await asyncio.sleep(span)
            node.upstream.slow = False
        elif kind == "lose":
            node.upstream.lose = 0.2
            await asyncio.sleep(span)
            node.upstream.lose = 0.0
        if exclusive:
            self.busy.discard(node)

    async def run(self):
        try:
            await self.play()
        finally:
            for node in self.nodes:
                if node.process and node.process.returncode is None:
                    node.ending = True
                    node.process.kill()

    async def play(self):
        await self.store.start(self.random)
        self.publish()
        for node in self.nodes:
            await node.start()
        await asyncio.sleep(2.5)
        end = time.monotonic() + self.seconds
        clients = [asyncio.create_task(self.client(node, f"{node.name}-{i}", end))
                   for node in self.nodes for i in range(3)]
        faults = []
        while time.monotonic() < end - 2:
            faults.append(asyncio.create_task(self.fault()))
            await asyncio.sleep(self.random.uniform(0.1, 0.7))
        await asyncio.gather(*faults)
        await asyncio.gather(*clients)
        await asyncio.sleep(RECOVERY_SECONDS)
        await self.check_recovery()
        for node in self.nodes:
            await node.end(signal.SIGTERM)
        for task in self.tasks:
            task.cancel()
        self.check_runs()

    async def check_recovery(self):
        before = dict(self.answers)
        await asyncio.gather(*(self.client(node, f"{node.name}-after", time.monotonic() + 2) for node in self.nodes))
        after = {request: answer for request, answer in self.answers.items() if request not in before}
        served = sum(status.startswith("2") for status, _ in after.values())
        if served < 0.9 * len(after):
            self.broken(f"served {served} of {len(after)} after the faults")
        for request, (_, once) in after.items():
            for service, _ in self.ran.get(request, []):
                if not once and service != self.service:
                    self.broken(f"request {request} ran on {service} after the newest configuration")

    def check_runs(self):
        for request, runs in self.ran.items():
            status, once = self.answers.get(request, ("unanswered", False))
            if once and len(runs) > 1:
                self.broken(f"request {request} ran {len(runs)} times")
            if status in NOT_RUN:
                self.broken(f"request {request} was answered {status} and ran")
            for service, _ in runs:
                if service not in self.allowed["/once/" if once else "/safe/"]:
                    self.broken(f"request {request} ran on {service}, which no configuration allows")
        for node in self.nodes:
            if node.upstream.late_deliveries:
                self.broken(f"{node.name}: {len(node.upstream.late_deliveries)} deliveries after leaving")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(1 << 30))
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--nodes", type=int, default=6)
    arguments = parser.parse_args()
    soak = Soak(os.path.abspath(arguments.program), arguments.seed, arguments.seconds, arguments.nodes)
    asyncio.run(soak.run())
    print(f"seed={arguments.seed} requests={len(soak.answers)} ran={len(soak.ran)} "
          f"statuses={dict(soak.statuses)} problems={len(soak.problems)} logs={soak.folder}")
    sys.exit(1 if soak.problems else 0)


if __name__ == "__main__":
    main()
