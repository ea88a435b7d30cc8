#!/usr/bin/env python3
"""Leaves of an upstream while the store is down and all nodes end, with real processes.

Usage: leavesoak.py PROGRAM [--leave NAME]... [--end NAME]... [--down SECONDS] [--restore]

The upstream of the first node leaves by a "draining" report or by a deregistration, and repeats it until it is
acknowledged. Meanwhile the store is down, all processes are stopped or killed, and start again. Then a "ready" report
from before the leave arrives. Checks that the upstream gets nothing 2.5 s after an acknowledgement, that it is
acknowledged once the store is back, and that the other upstreams are served. Exit code 1 on a broken promise.

--restore: the leave is acknowledged before the store goes down, only the process of the first node ends, and the store comes
back from a copy that is older than the leave.
"""
import argparse
import asyncio
import json
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import soak  # noqa: E402
from wire import call  # noqa: E402

LEAVES = ["report", "call"]
ENDS = {"kill": signal.SIGKILL, "stop": signal.SIGTERM}
NODES = 6
REPEAT_SECONDS = 0.7
SERVES_ON_SECONDS = 8  # After the store is back.
ACK_SECONDS = 4  # Bound of an acknowledgement once the store is back.


class LeaveCase:
    def __init__(self, arguments, leave, end):
        self.leave, self.end, self.down, self.restore = leave, end, arguments.down, arguments.restore
        self.soak = soak.Soak(os.path.abspath(arguments.program), 0, 0, NODES)
        self.upstream = self.soak.nodes[0].upstream
        self.acknowledged_at = None

    def body(self, state):
        upstream = self.upstream
        return {"service": upstream.service, "address": soak.text(upstream.reported_address), "zone": "z",
                "version": "v1", "slots": upstream.slots, "state": state, "cold_remaining": "0ms",
                "sequence": upstream.sequence, "born": upstream.born}

    async def send(self, kind, body):
        answer = await call(self.upstream.announce, "POST", f"/rpc?call=instances.{kind}&of={self.upstream.id}",
                            {"Host": "n"}, json.dumps(body).encode(), 1.0)
        return answer is not None and " 200 " in answer.start

    async def leave_until_acknowledged(self):
        while self.acknowledged_at is None:
            self.upstream.sequence += 1
            kind = "heartbeat" if self.leave == "report" else "deregister"
            if await self.send(kind, self.body("draining")):
                self.acknowledged_at = self.upstream.acknowledged_leaving = time.monotonic()
            await asyncio.sleep(REPEAT_SECONDS)

    async def play(self):
        fleet, first = self.soak, self.soak.nodes[0]
        await fleet.store.start(fleet.random)
        fleet.version, fleet.service = 2, "books"
        fleet.allowed["/safe/"].add("books")
        fleet.store.put("op/config", soak.configuration(2, "books"))
        for node in fleet.nodes:
            await node.start()
        await asyncio.sleep(2.5)
        first.reporting.cancel()  # This case sends the reports itself.
        stop_at = time.monotonic() + 3 + self.down + SERVES_ON_SECONDS
        clients = [asyncio.create_task(fleet.client(node, f"{node.name}-{i}", stop_at))
                   for node in fleet.nodes for i in range(3)]
        self.upstream.sequence += 1
        late = self.body("ready")
        earlier = fleet.store.copy()
        fleet.store.refuse = not self.restore
        leaving = asyncio.create_task(self.leave_until_acknowledged())
        await asyncio.sleep(1)
        fleet.store.refuse = True
        ending = [first] if self.restore else fleet.nodes
        await asyncio.gather(*(node.end(ENDS[self.end]) for node in ending))
        await asyncio.gather(*(node.launch() for node in ending))
        await asyncio.sleep(self.down)
        if self.restore:
            fleet.store.restore(earlier)
            fleet.store.put("op/config", soak.configuration(2, "books"))
        fleet.store.refuse = False
        back_at = time.monotonic()
        await asyncio.sleep(0.3)
        await self.send("heartbeat", late)
        await asyncio.gather(*clients)
        leaving.cancel()
        if self.acknowledged_at is None or self.acknowledged_at > back_at + ACK_SECONDS:
            fleet.broken("the leave was not acknowledged in time after the store was back")
        fleet.check_runs()
        served = sum(status.startswith("2") for status, _ in fleet.answers.values())
        if not served:
            fleet.broken("nothing was served")
        print(f"leave by {self.leave}, {self.end}: acknowledged {(self.acknowledged_at or 0) - back_at:.1f} s after the "
              f"store was back, served {served} of {len(fleet.answers)}, problems {len(fleet.problems)}", flush=True)

    async def run(self):
        try:
            await self.play()
        finally:
            for node in self.soak.nodes:
                if node.process and node.process.returncode is None:
                    node.ending = True
                    node.process.kill()
                    await node.process.wait()
            for task in self.soak.tasks:
                task.cancel()
        return not self.soak.problems


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("program")
    parser.add_argument("--leave", action="append", choices=LEAVES, help="both by default")
    parser.add_argument("--end", action="append", choices=ENDS, help="both by default")
    parser.add_argument("--down", type=float, default=2.0, help="seconds that the store stays down after the restart")
    parser.add_argument("--restore", action="store_true")
    arguments = parser.parse_args()
    cases = [LeaveCase(arguments, leave, end)
             for leave in arguments.leave or LEAVES for end in arguments.end or ENDS]
    passed = [asyncio.run(case.run()) for case in cases]
    sys.exit(0 if all(passed) else 1)


if __name__ == "__main__":
    main()
