#!/usr/bin/env python3
"""Starts real nodes on loopback and measures their control work: idle, at lost nodes, under churn, at changes.

For each count of nodes it prints one JSON object with, per node: processor share, resident memory, control bytes/s and
store calls/s, and over all nodes: the time until a killed node is known to be dead, and until a published change is in
force. The last object holds the slopes against the node count. Every process that is started is stopped by its id, and
every wait is bounded. CPU shares are measured while all nodes share one machine.
"""
import argparse
import concurrent.futures
import http.client
import json
import os
import random
import shutil
import signal
import statistics
import subprocess
import sys
import tempfile
import time

DATA_CENTRES = [("west-sea", "west-1"), ("west-sea", "west-2"), ("south-sea", "south-1"), ("south-sea", "south-2")]
STORE = "127.0.0.2:7100"
CONTROL_PORT = 7004
POLL_SECONDS = 0.2
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
POOL = concurrent.futures.ThreadPoolExecutor(max_workers=8)


def call(address, method, path, body=None, timeout=2.0):
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body)
        answer = connection.getresponse()
        return answer.status, answer.read().decode()
    finally:
        connection.close()


class Node:
    def __init__(self, number, folder, program, seeds):
        self.number = number
        region, centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.name = f"node-{number}"
        self.centre = centre
        self.ip = f"127.{10 + number % len(DATA_CENTRES)}.{number // 200}.{number % 200 + 1}"
        self.control = f"{self.ip}:{CONTROL_PORT}"
        self.admin = f"{self.ip}:7005"
        self.program = program
        self.process = None
        settings = {
            "name": self.name, "region": region, "dataCentre": centre,
            "listen": {"caller": f"{self.ip}:7001", "local": f"{self.ip}:7002", "peer": f"{self.ip}:7003",
                       "control": self.control, "admin": self.admin},
            "controlAllow": ["127.0.0.0/8"], "seeds": seeds, "store": STORE, "randomSeed": number + 1}
        self.path = os.path.join(folder, self.name + ".json")
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    def start(self):
        self.process = subprocess.Popen([self.program, "--settings", self.path], stdout=subprocess.DEVNULL,
                                        stderr=subprocess.DEVNULL)

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.process = None

    def stop(self, timeout=10):
        if self.process is None:
            return
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.process = None

    def status(self):
        try:
            code, text = call(self.admin, "GET", "/status")
            return json.loads(text)["control"] if code == 200 else None
        except (OSError, ValueError, http.client.HTTPException):
            return None

    def cpu_seconds(self):
        with open(f"/proc/{self.process.pid}/stat", encoding="utf-8") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def resident(self):
        with open(f"/proc/{self.process.pid}/statm", encoding="utf-8") as file:
            return int(file.read().split()[1]) * PAGE


def statuses(nodes):
    return list(POOL.map(lambda node: node.status(), nodes))


def wait_for(nodes, condition, limit):
    """Seconds from now until each node's status met the condition, in the order of nodes; None for those that did not."""
    begin = time.monotonic()
    times = [None] * len(nodes)
    while time.monotonic() - begin < limit and None in times:
        open_nodes = [i for i, value in enumerate(times) if value is None]
        for index, status in zip(open_nodes, statuses([nodes[i] for i in open_nodes])):
            if status is not None and condition(status):
                times[index] = time.monotonic() - begin
        time.sleep(POLL_SECONDS)
    return times


def summary(values):
    known = [value for value in values if value is not None]
    if not known:
        return {"median": None, "worst": None, "missing": len(values)}
    return {"median": round(statistics.median(known), 2), "worst": round(max(known), 2),
            "missing": len(values) - len(known)}


def usage(nodes, seconds):
    """Per node over a time in which nothing else is asked of the nodes."""
    before = statuses(nodes)
    cpu = [node.cpu_seconds() for node in nodes]
    begin = time.monotonic()
    time.sleep(seconds)
    spent = [node.cpu_seconds() - first for node, first in zip(nodes, cpu)]
    elapsed = time.monotonic() - begin
    after = statuses(nodes)
    pairs = [(a, b) for a, b in zip(before, after) if a and b]

    def rates(*fields):
        return [sum(b[field] - a[field] for field in fields) / elapsed for a, b in pairs]

    traffic = rates("bytesSent", "bytesReceived")
    return {"cpuPercent": {"mean": round(100 * statistics.mean(spent) / elapsed, 3),
                           "worst": round(100 * max(spent) / elapsed, 3)},
            "residentMiB": {"mean": round(statistics.mean(n.resident() for n in nodes) / 2**20, 2),
                            "worst": round(max(n.resident() for n in nodes) / 2**20, 2)},
            "controlBytesPerSecond": {"mean": round(statistics.mean(traffic)), "worst": round(max(traffic))},
            "requestsPerSecond": round(statistics.mean(rates("requestsSent")), 3),
            "storeCallsPerSecondAll": round(sum(rates("storeCalls")), 2)}


def store_put(key, value, revision):
    code, text = call(STORE, "PUT", "/v1/kv/" + key, json.dumps({"value": value, "expectedRevision": revision}))
    return code, json.loads(text)


def publish(name, version, digest_program):
    """Writes a document and the manifest as a publication does."""
    text = json.dumps({"service": name, "limits": {"slots": 50, "connections": 400, "queue": 200,
                                                   "targetQueueMs": 20},
                       "retry": {"ratio": 0.1, "backoffMs": 10, "backoffCapMs": 200},
                       "kinds": [{"name": f"kind-{i}-{version}", "rank": 5, "share": 0.05, "repeatable": True,
                                  "essential": False, "longRunning": False, "timeoutMs": 2000, "retries": 2}
                                 for i in range(4)]}, separators=(",", ":"))
    digest = subprocess.run([digest_program], input=text.encode(), capture_output=True, check=True,
                            timeout=10).stdout.decode().strip()
    store_put(f"config/docs/{name}/{digest}", text, 0)
    code, answer = call(STORE, "GET", "/v1/kv/config/manifest")
    answer = json.loads(answer)
    manifest = json.loads(answer["value"]) if code == 200 else {"v": 1, "documents": {}}
    manifest["documents"][name] = {"version": version, "hash": digest, "publication": f"p-{version}"}
    code, _ = store_put("config/manifest", json.dumps(manifest), answer.get("revision", 0) if code == 200 else 0)
    if code != 200:
        raise RuntimeError("the manifest changed while it was written")


def measure(count, arguments, folder):
    store = subprocess.Popen([os.path.join(arguments.build, "src/standin/geraniumsail-standin-store"), "--listen",
                              STORE], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    program = os.path.join(arguments.build, "src/node/geraniumsail-node")
    digest_program = os.path.join(arguments.build, "bench/contenthash")
    nodes = []
    result = {"nodes": count}
    try:
        time.sleep(0.5)
        seeds = [f"127.{10 + i}.0.{i + 1}:{CONTROL_PORT}" for i in range(len(DATA_CENTRES))]
        nodes = [Node(i, folder, program, seeds) for i in range(count)]
        for node in nodes:
            node.start()
        result["joinSeconds"] = summary(wait_for(nodes, lambda s: s["live"] == count, 120))
        # Every node still tells the others about all that started; the queues are empty after about half a minute.
        result["afterStart"] = usage(nodes, arguments.seconds)
        time.sleep(arguments.rest)
        result["idle"] = usage(nodes, arguments.seconds)

        changes = []
        for change in range(arguments.changes):
            version = int(time.time() * 1000)
            name = f"service-{change % 3}"
            publish(name, version, digest_program)
            changes += wait_for(nodes, lambda s, n=name, v=version: s["documents"].get(n, 0) >= v, 30)
            time.sleep(1)
        result["changeInForceSeconds"] = summary(changes)

        chooser = random.Random(7)
        detected = []
        for _ in range(arguments.kills):
            victim = chooser.choice(nodes[len(DATA_CENTRES):])
            victim.kill()
            others = [node for node in nodes if node is not victim]
            detected += wait_for(others, lambda s, n=victim.name: n in s["dead"], 60)
            victim.start()
            wait_for(nodes, lambda s: s["live"] == count, 60)
        result["deadKnownSeconds"] = summary(detected)

        # Churn: stop and restart one node after the other while the others are measured.
        if arguments.restarts == 0:
            return result
        churned = chooser.sample(nodes[len(DATA_CENTRES):], min(arguments.restarts, count - len(DATA_CENTRES)))
        rest = [node for node in nodes if node not in churned]
        before = statuses(rest)
        cpu = [node.cpu_seconds() for node in rest]
        begin = time.monotonic()
        for node in churned:
            node.stop()
            time.sleep(0.5)
            node.start()
            time.sleep(1.0)
        elapsed = time.monotonic() - begin
        spent = [node.cpu_seconds() - first for node, first in zip(rest, cpu)]
        after = statuses(rest)
        traffic = [(b["bytesSent"] + b["bytesReceived"] - a["bytesSent"] - a["bytesReceived"]) / elapsed
                   for a, b in zip(before, after) if a and b]
        result["churn"] = {"restartsPerSecond": round(len(churned) / elapsed, 3),
                           "cpuPercent": round(100 * statistics.mean(spent) / elapsed, 3),
                           "controlBytesPerSecond": {"mean": round(statistics.mean(traffic)),
                                                     "worst": round(max(traffic))},
                           "agreedAfterSeconds": summary(wait_for(nodes, lambda s: s["live"] == count, 60))}
        final = [status for status in statuses(nodes) if status]
        result["declaredDead"] = sum(status["declaredDead"] for status in final)
        result["refuted"] = sum(status["refuted"] for status in final)
        result["requestsRefused"] = sum(status["requestsRefused"] for status in final)
    finally:
        for node in nodes:
            if node.process is not None:
                node.process.kill()
        for node in nodes:
            if node.process is not None:
                node.process.wait()
        store.terminate()
        try:
            store.wait(5)
        except subprocess.TimeoutExpired:
            store.kill()
            store.wait()
    return result


def slope(points):
    """Least squares: value = base + slope x nodes."""
    if len(points) < 2:
        return None
    xs, ys = zip(*points)
    mean_x, mean_y = statistics.mean(xs), statistics.mean(ys)
    gradient = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum((x - mean_x) ** 2 for x in xs)
    return {"base": round(mean_y - gradient * mean_x, 4), "perNode": round(gradient, 6)}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--counts", default="25,50,100,200")
    parser.add_argument("--seconds", type=float, default=20, help="time of the idle measurement")
    parser.add_argument("--rest", type=float, default=30, help="time between the two measurements without events")
    parser.add_argument("--changes", type=int, default=5)
    parser.add_argument("--kills", type=int, default=2)
    parser.add_argument("--restarts", type=int, default=10)
    arguments = parser.parse_args()
    counts = [int(text) for text in arguments.counts.split(",")]
    if max(counts) > 250 or max(arguments.seconds, arguments.rest) > 120 or max(arguments.changes, arguments.kills) > 20:
        parser.error("at most 250 nodes, 120 seconds, 20 changes and 20 kills")
    results = []
    for count in counts:
        folder = tempfile.mkdtemp(prefix="geraniumsail-nodes-")
        try:
            results.append(measure(count, arguments, folder))
        finally:
            shutil.rmtree(folder, ignore_errors=True)
        print(json.dumps(results[-1]), flush=True)
    print(json.dumps({"slopes": {
        "cpuPercent": slope([(r["nodes"], r["idle"]["cpuPercent"]["mean"]) for r in results]),
        "residentMiB": slope([(r["nodes"], r["idle"]["residentMiB"]["mean"]) for r in results]),
        "controlBytesPerSecond": slope([(r["nodes"], r["idle"]["controlBytesPerSecond"]["mean"]) for r in results]),
        "storeCallsPerSecondAll": slope([(r["nodes"], r["idle"]["storeCallsPerSecondAll"]) for r in results])}}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
