#!/usr/bin/env python3
"""Stops nodes by SIGTERM while a request lasts longer than the grace time, with real processes.

Usage: latestop.py PROGRAM [--nodes N]

Each node must end by itself, with exit code 0, before the platform would kill it. Exit code 1 if one does not.
"""
import argparse
import asyncio
import os
import signal
import sys

from soak import Soak, configuration
from wire import call

GRACE_SECONDS = 6


class LateStop(Soak):
    async def request(self, node):
        await call(node.caller, "POST", "/once/x", {"Host": "a.example", "Request-Id": f"late-{node.name}",
                                                    "Deadline-Ms": "20000"}, b"body", timeout=20)

    async def play(self):
        await self.store.start(self.random)
        self.store.put("op/config", configuration(1, "books").replace("1500ms", "20s"))
        for node in self.nodes:
            node.upstream.held = asyncio.Event()
            await node.start()
        await asyncio.sleep(4)
        requests = [asyncio.create_task(self.request(node)) for node in self.nodes]
        await asyncio.sleep(0.5)
        if not self.ran:
            self.broken("no request reached an upstream")
        await asyncio.gather(*(node.end(signal.SIGTERM, GRACE_SECONDS) for node in self.nodes))
        for node in self.nodes:
            if node.process.returncode != 0:
                self.broken(f"{node.name} ended with code {node.process.returncode}")
        for task in requests + self.tasks:
            task.cancel()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("program")
    parser.add_argument("--nodes", type=int, default=4)
    arguments = parser.parse_args()
    soak = LateStop(os.path.abspath(arguments.program), 1, 0, arguments.nodes)
    asyncio.run(soak.run())
    print(f"ran={len(soak.ran)} problems={len(soak.problems)} logs={soak.folder}")
    sys.exit(1 if soak.problems else 0)


if __name__ == "__main__":
    main()
