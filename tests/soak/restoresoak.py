#!/usr/bin/env python3
"""Soak of a store that comes back from an older copy beside configuration changes: real processes, checked by callers.

Usage: restoresoak.py PROGRAM [--seed N] [--rounds N] [--nodes N] [--zones N] [--no-era] [--other PROGRAM]

In each round a copy of the store is taken, versions and entries are written, the store is away for a time and comes back from
the copy. The operator writes again what was lost, at once or with the next version; other writers may raise the revisions
beyond those that the nodes know, and some nodes may stay cut off from the store for longer. Checked as in configsoak.py, from
2.5 s after the last acknowledgement and 3 s after the last disturbance on.
--no-era: the store states no era. --other: every second node runs this program, as in a rolling upgrade.
Only processes started here are signalled, by their ids. Exit code 1 on a broken promise, with the seed.
"""
import asyncio
import os
import time

from configsoak import ConfigSoak, argument_parser, run
from soak import configuration

MAX_AWAY_SECONDS = 5
MAX_CUT_SECONDS = 5
MAX_COPY_AGE_SECONDS = 5


class RestoreSoak(ConfigSoak):
    def __init__(self, program, seed, rounds, nodes, zones, other):
        super().__init__(program, seed, rounds, nodes, zones)
        for node in self.nodes[1::2]:
            node.program = other

    def write_again(self):
        """As the operator does after the store has lost the newest version."""
        self.store.put("op/config", configuration(self.version, self.service, [f"/added-{self.version}/"]))
        self.published = time.monotonic()

    async def write_meanwhile(self, until):
        """Changes that the copy does not have."""
        while time.monotonic() < until:
            await asyncio.sleep(self.random.uniform(0, max(0.0, until - time.monotonic())))
            kind = self.random.choice(["publish", "drain", "restart", "write"])
            node = self.random.choice(self.nodes)
            if kind == "publish":
                self.publish()
            elif kind == "drain":
                node.upstream.restart()
            elif kind == "restart" and node not in self.busy:
                await self.node_fault("term", node, 0)
            else:
                self.store.put("servers/other", str(time.monotonic()))

    async def be_away(self, kind, span):
        self.faults.append(f"away ({kind}) for {span:.1f} s")
        modes = {"silent": "silent", "reset": "refuse"}
        if kind == "unavailable":
            self.store.refuse = True
        for node in self.nodes:
            node.to_store.mode = modes.get(kind, "pass")
            if kind != "silent":
                node.to_store.reset()
        await asyncio.sleep(span)

    async def come_back(self, earlier):
        self.store.restore(earlier)
        writes = self.random.choice([0, 3, 30])
        self.faults.append(f"restore, {writes} writes")
        for _ in range(writes):
            self.store.put("servers/other", str(time.monotonic()))
        delay = self.random.choice([0, 0, 0.3, 1.0])
        if delay == 0:
            self.write_again()
        cut = self.random.sample(self.nodes, self.random.choice([0, len(self.nodes) // 3 + 1]))
        self.store.refuse = False
        for node in self.nodes:
            node.to_store.mode = "refuse" if node in cut else "pass"
            node.to_store.reset()
        await asyncio.sleep(delay)
        if delay > 0:
            self.write_again()
        if self.random.random() < 0.5:
            self.publish()
        if cut:
            span = self.random.uniform(0.1, MAX_CUT_SECONDS)
            self.faults.append(f"{len(cut)} nodes cut off for {span:.1f} s more")
            await asyncio.sleep(span)
            for node in cut:
                node.to_store.mode = "pass"
                node.to_store.reset()

    async def drill(self):
        earlier = self.store.copy()
        await self.write_meanwhile(time.monotonic() + self.random.uniform(0.5, MAX_COPY_AGE_SECONDS))
        await self.be_away(self.random.choice(["unavailable", "reset", "silent"]),
                           self.random.uniform(0.1, MAX_AWAY_SECONDS))
        await self.come_back(earlier)
        self.calm_since = time.monotonic()

    async def disturb(self):
        for _ in range(self.random.choice([1, 1, 2])):
            await self.drill()


def main():
    parser = argument_parser(__doc__, rounds=4, nodes=16, zones=4)
    parser.add_argument("--no-era", action="store_true")
    parser.add_argument("--other")
    arguments = parser.parse_args()
    other = os.path.abspath(arguments.other) if arguments.other else None
    soak = RestoreSoak(os.path.abspath(arguments.program), arguments.seed, arguments.rounds, arguments.nodes,
                       arguments.zones, other)
    soak.store.states_era = not arguments.no_era
    run(soak)


if __name__ == "__main__":
    main()
