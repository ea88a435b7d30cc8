#!/usr/bin/env python3
"""Floods two upstreams with real processes on loopback and prints what each kind of work kept, as JSON.

Two nodes, two stand-in upstreams of 4 slots and 40 ms (200 calls/s together), a stand-in store with a published
configuration. First the least urgent kind is offered at 4 times the capacity, then the most urgent one; the other kinds
are offered a moderate load. Callers resend twice. Exit code 1 if a check of the load program or a target is missed.
"""
import argparse
import json
import os
import subprocess
import sys
import tempfile

from latency import get, settings, stop, wait_for

STORE = "127.0.0.9:7100"
NODES = ("127.0.0.2", "127.0.0.3")
CAPACITY = 200
URGENT_TARGET = 0.99
SHARE_TARGET = 0.9
KINDS = {  # name: (rank, share, calls/s outside the flood)
    "booking": (0, 0.3, 20),
    "schedule": (3, 0.3, 30),
    "report": (8, 0.1, 20),
}
BEHAVIOUR = {"services": {"berths": {"slots": 4, "connections": 100, "connectionCostMs": 0, "coldStartMs": 0,
                                     "kinds": {kind: {"serviceMs": 40, "answerBytes": 500} for kind in KINDS}}}}
POLICY = {"service": "berths", "limits": {"slots": 4, "connections": 100, "queue": 50, "targetQueueMs": 20},
          "retry": {"ratio": 0.1, "backoffMs": 10, "backoffCapMs": 200},
          "kinds": [{"name": kind, "rank": rank, "share": share, "repeatable": True, "essential": rank == 0,
                     "longRunning": False, "timeoutMs": 1000, "retries": 1}
                    for kind, (rank, share, _) in KINDS.items()]}


class Deployment:
    def __init__(self, build, folder, processes):
        self.build, self.folder, self.processes = build, folder, processes

    def program(self, name):
        return os.path.join(self.build, "src", name)

    def start(self, *command):
        log = open(os.path.join(self.folder, f"{len(self.processes)}.log"), "w", encoding="utf-8")
        self.processes.append(subprocess.Popen(command, stdout=log, stderr=log))

    def write(self, name, value):
        path = os.path.join(self.folder, name)
        os.makedirs(os.path.dirname(path), exist_ok=True)
        with open(path, "w", encoding="utf-8") as file:
            json.dump(value, file)
        return path

    def set_up(self):
        self.start(self.program("standin/geraniumsail-standin-store"), "--listen", STORE)
        for number, ip in enumerate(NODES):
            value = settings(f"n{number}", ip, [] if number == 0 else [NODES[0] + ":7004"]) | {"store": STORE}
            self.start(self.program("node/geraniumsail-node"), "--settings", self.write(f"n{number}.json", value))
        for ip in NODES:
            wait_for(lambda ip=ip: get(ip + ":7005", "/healthz"), "start of a node")
        self.write("tree/berths/geraniumsail.json", POLICY)
        subprocess.run([self.program("cli/geraniumsail"), "publish", os.path.join(self.folder, "tree"), "--store", STORE,
                        "--node", NODES[0] + ":7005"], check=True, stdout=subprocess.DEVNULL, timeout=30)
        behaviour = self.write("behaviour.json", BEHAVIOUR)
        for ip in NODES:
            self.start(self.program("standin/geraniumsail-standin-upstream"), "--behaviour", behaviour, "--service",
                       "berths", "--listen", ip + ":8000", "--node", ip + ":7002")
        for ip in NODES:
            wait_for(lambda ip=ip: json.loads(get(ip + ":7005", "/status"))["targets"] == 2, "both upstreams are known")

    def flood(self, flooding, seconds):
        streams = [{"service": "berths", "kind": kind, "rank": rank, "timeoutMs": 1000, "resends": 2,
                    "ratePerSecond": 4 * CAPACITY if kind == flooding else rate}
                   for kind, (rank, _, rate) in KINDS.items()]
        scenario = self.write(flooding + ".json",
                              {"durationMs": seconds * 1000, "randomSeed": 11, "streams": streams})
        command = [self.program("standin/geraniumsail-standin-load"), "--scenario", scenario, "--json", "-"]
        for ip in NODES:
            command += ["--entry", ip + ":7001", "--upstream", ip + ":8000"]
        run = subprocess.run(command, stdout=subprocess.PIPE, timeout=seconds + 60, check=False)
        return run.returncode, json.loads(run.stdout)


def summary(flooding, code, result, seconds):
    kinds = {}
    for stream in result["streams"]:
        kind = stream["kind"]
        rank, share, rate = KINDS[kind]
        offered = 4 * CAPACITY if kind == flooding else rate
        served = stream["whole"] / seconds
        row = {"offeredPerSecond": offered, "wholePerSecond": round(served, 1),
               "servedOfAsked": round(stream["whole"] / max(stream["sent"], 1), 3),
               "keptOfShare": round(served / min(offered, share * CAPACITY), 3)}
        if kind != flooding:
            row["held"] = row["servedOfAsked"] >= URGENT_TARGET if rank == 0 else row["keptOfShare"] >= SHARE_TARGET
        kinds[kind] = row
    total = sum(row["wholePerSecond"] for row in kinds.values())
    return {"flood": flooding, "goodputOfCapacity": round(total / CAPACITY, 3), "checksHeld": code == 0, "kinds": kinds}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seconds", type=int, default=10)
    options = parser.parse_args()
    processes = []
    results = []
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(options.build, folder, processes)
        try:
            deployment.set_up()
            for flooding in ("report", "booking"):
                code, result = deployment.flood(flooding, options.seconds)
                results.append(summary(flooding, code, result, options.seconds))
        finally:
            stop(processes)
    print(json.dumps(results, indent=2))
    held = all(entry["checksHeld"] and all(row.get("held", True) for row in entry["kinds"].values())
               for entry in results)
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
