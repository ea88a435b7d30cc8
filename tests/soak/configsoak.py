#!/usr/bin/env python3
"""Soak of configuration changes beside faults of the store and of the nodes: real processes, promises checked by callers.

Usage: configsoak.py PROGRAM [--seed N] [--rounds N] [--nodes N] [--zones N]

Each round has up to three faults that overlap or follow each other, and one to three changes at any moment of them. A change
moves a route to the other service, adds a route and drops the one that the version before had added. Checked at each node
that runs, from 2.5 s after the last acknowledgement and 3 s after the end of the last fault on:
- the moved route is served by the new service;
- the added route is not answered 404, and the dropped one is not served.
Only processes started here are signalled, by their ids. Exit code 1 on a broken promise, with the seed.
"""
import argparse
import asyncio
import os
import random
import signal
import sys
import time

from soak import SERVICES, Soak, configuration
from wire import call

CONFIG_APPLY_SECONDS = 2.5
STABLE_SECONDS = 3.0
PROBE_SECONDS = 1.5
STORE_FAULTS = ["silence", "lose", "slow", "down", "refuse", "cut", "compact", "revoke", "none"]
NODE_FAULTS = ["pause", "term", "kill"]


class ConfigSoak(Soak):
    def __init__(self, program, seed, rounds, nodes, zones):
        super().__init__(program, seed, 0, nodes, zones)
        self.rounds = rounds
        self.probes = 0
        self.service = SERVICES[0]

    def publish(self):
        self.version += self.random.randint(1, 3)
        self.service = SERVICES[1 - SERVICES.index(self.service)]
        self.store.put("op/config", configuration(self.version, self.service, [f"/added-{self.version}/"]))
        self.dropped, self.added = getattr(self, "added", None), f"/added-{self.version}/"
        self.published = time.monotonic()

    async def store_fault(self, kind, nodes, span):
        if kind == "silence":
            for node in nodes:
                node.to_store.silence()
        elif kind in ("lose", "slow", "refuse", "cut"):
            for node in nodes:
                node.to_store.delay_seconds = self.random.uniform(0.2, 2.5)
                node.to_store.mode = {"slow": "delay", "cut": "silent"}.get(kind, kind)
                if kind == "refuse":
                    node.to_store.reset()
            await asyncio.sleep(span)
            for node in nodes:
                node.to_store.mode = "pass"
        elif kind == "down":
            self.store.refuse = True
            await asyncio.sleep(span)
            self.store.refuse = False
        elif kind == "compact":
            self.store.compact()
        elif kind == "revoke":
            self.store.revoke()

    async def node_fault(self, kind, node, span):
        if node in self.busy:
            return
        self.busy.add(node)
        if kind == "pause":
            node.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(span)
            node.process.send_signal(signal.SIGCONT)
        else:
            await node.end(signal.SIGTERM if kind == "term" else signal.SIGKILL)
            await asyncio.sleep(self.random.uniform(0.1, 1.0))
            await node.launch()
        self.busy.discard(node)

    async def fault(self):
        await asyncio.sleep(self.random.uniform(0, 3))
        span = self.random.uniform(0.1, 5)
        if self.random.random() < 0.7:
            nodes = self.random.sample(self.nodes, self.random.choice([1, len(self.nodes) // 3 + 1, len(self.nodes)]))
            kind = self.random.choice(STORE_FAULTS)
            self.faults.append(f"{kind} at {len(nodes)} for {span:.1f} s")
            await self.store_fault(kind, nodes, span)
        else:
            kind, node = self.random.choice(NODE_FAULTS), self.random.choice(self.nodes)
            self.faults.append(f"{kind} of {node.name} for {span:.1f} s")
            await self.node_fault(kind, node, span)
        self.calm_since = time.monotonic()

    async def change(self):
        await asyncio.sleep(self.random.uniform(0, 6))
        self.publish()

    async def probe(self, node, until):
        stale = []
        while time.monotonic() < until:
            sent = time.monotonic()
            path = self.random.choice(["/safe/", self.added, self.dropped])
            self.probes += 1
            answer = await call(node.caller, "GET", path, {"Host": "a.example", "Request-Id": f"p{self.probes}",
                                                           "Deadline-Ms": "1500", "Connection": "close"}, timeout=2.0)
            if answer is not None:
                status = answer.start.split(" ")[1]
                is_old_service = status == "200" and f"by {self.service}".encode() not in answer.body
                is_old_route = status == "404" if path == self.added else path == self.dropped and status == "200"
                if is_old_service or is_old_route:
                    stale.append(f"{path} {status} {sent - self.published:.2f} s after the change")
            await asyncio.sleep(0.03)
        if stale:
            self.broken(f"{node.name}: {len(stale)} requests by an old version, the last: {stale[-1]}; "
                        f"faults: {'; '.join(self.faults)}")

    async def disturb(self):
        """One round of faults and changes, up to the end of the last one."""
        events = [self.fault() for _ in range(self.random.randint(1, 3))]
        events += [self.change() for _ in range(self.random.randint(1, 3))]
        await asyncio.gather(*events)

    async def play(self):
        await self.store.start(self.random)
        self.publish()
        self.publish()
        for node in self.nodes:
            await node.start()
        await asyncio.sleep(4)
        for number in range(self.rounds):
            self.faults = [f"round {number}"]
            self.calm_since = time.monotonic()
            await self.disturb()
            start = max(self.published + CONFIG_APPLY_SECONDS, self.calm_since + STABLE_SECONDS) + 0.03
            await asyncio.sleep(max(0.0, start - time.monotonic()))
            await asyncio.gather(*(self.probe(node, start + PROBE_SECONDS) for node in self.nodes))
        for node in self.nodes:
            await node.end(signal.SIGTERM)
        for task in self.tasks:
            task.cancel()


def argument_parser(description, rounds, nodes, zones):
    parser = argparse.ArgumentParser(description=description, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(1 << 30))
    parser.add_argument("--rounds", type=int, default=rounds)
    parser.add_argument("--nodes", type=int, default=nodes)
    parser.add_argument("--zones", type=int, default=zones)
    return parser


def run(soak):
    """Plays the soak and ends the program."""
    asyncio.run(soak.run())
    print(f"seed={soak.seed} probes={soak.probes} problems={len(soak.problems)} logs={soak.folder}")
    sys.exit(1 if soak.problems else 0)


def main():
    arguments = argument_parser(__doc__, rounds=6, nodes=8, zones=2).parse_args()
    run(ConfigSoak(os.path.abspath(arguments.program), arguments.seed, arguments.rounds, arguments.nodes, arguments.zones))


if __name__ == "__main__":
    main()
