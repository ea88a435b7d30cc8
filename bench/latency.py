#!/usr/bin/env python3
"""Starts two nodes and a stand-in upstream on loopback and compares calls made directly with calls through both nodes.

Prints one JSON object: latencies and what the nodes add (target: 0.54 ms at the 99th percentile), calls/s per core of
each node, and memory and CPU share of the nodes before any call. Every process is stopped by its id, every wait is
bounded. All processes share one machine, so other load on it raises every figure.
"""
import argparse
import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time

TARGET_MS = 0.54
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
UPSTREAM = "127.0.0.1:7300"
BEHAVIOUR = {"services": {"berths": {"slots": 50, "connections": 400, "connectionCostMs": 0, "coldStartMs": 0,
                                     "kinds": {"berth-schedule": {"serviceMs": 1, "answerBytes": 500}}}}}


def settings(name, ip, seeds):
    listen = {part: f"{ip}:{port}" for part, port in
              (("caller", 7001), ("local", 7002), ("peer", 7003), ("control", 7004), ("admin", 7005))}
    return {"name": name, "region": "west-sea", "dataCentre": "west-1", "listen": listen,
            "controlAllow": ["127.0.0.0/8"], "seeds": seeds, "randomSeed": 1}


def get(address, path):
    connection = http.client.HTTPConnection(*address.split(":"), timeout=2)
    try:
        connection.request("GET", path)
        return connection.getresponse().read().decode()
    finally:
        connection.close()


def wait_for(condition, what, seconds=20):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, ValueError, KeyError):
            pass
        time.sleep(0.1)
    raise RuntimeError("did not happen in time: " + what)


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_mb(pid):
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE / 1e6


def measure(build, folder, options, processes):
    def start(*command):
        log = open(os.path.join(folder, f"{len(processes)}.log"), "w", encoding="utf-8")
        processes.append(subprocess.Popen(command, stdout=log, stderr=log))
        return processes[-1]

    def write(name, value):
        path = os.path.join(folder, name)
        with open(path, "w", encoding="utf-8") as file:
            json.dump(value, file)
        return path

    node = os.path.join(build, "src/node/geraniumsail-node")
    target = start(node, "--settings", write("target.json", settings("target", "127.0.0.3", [])))
    entry = start(node, "--settings", write("entry.json", settings("entry", "127.0.0.2", ["127.0.0.3:7004"])))
    wait_for(lambda: get("127.0.0.2:7005", "/healthz") and get("127.0.0.3:7005", "/healthz"), "start of the nodes")
    start(os.path.join(build, "src/standin/geraniumsail-standin-upstream"), "--behaviour",
          write("behaviour.json", BEHAVIOUR), "--service", "berths", "--listen", UPSTREAM, "--node", "127.0.0.3:7002")
    wait_for(lambda: json.loads(get("127.0.0.2:7005", "/status"))["targets"] == 1, "the entry node knows the upstream")
    nodes = {"entry": entry.pid, "target": target.pid}
    before = {name: cpu_seconds(pid) for name, pid in nodes.items()}
    time.sleep(options.idle)
    idle = {name: {"memoryMb": round(memory_mb(pid), 1),
                   "cpuPercent": round(100 * (cpu_seconds(pid) - before[name]) / options.idle, 2)}
            for name, pid in nodes.items()}
    before = {name: cpu_seconds(pid) for name, pid in nodes.items()}
    load = subprocess.run(
        [os.path.join(build, "bench/bench-latency"), "--direct", UPSTREAM, "--entry", "127.0.0.2:7001", "--service",
         "berths", "--kind", "berth-schedule", "--rate", str(options.rate), "--seconds", str(options.seconds)],
        stdout=subprocess.PIPE, timeout=options.seconds + 30, check=False)
    result = json.loads(load.stdout)
    result["target"] = {"addedP99Ms": TARGET_MS, "held": result["added"]["p99Ms"] <= TARGET_MS}
    warm_up = 1 + 1 / options.seconds
    result["callsPerSecondPerCore"] = {
        name: round(result["throughNodes"]["calls"] * warm_up / max(cpu_seconds(pid) - before[name], 1 / TICKS))
        for name, pid in nodes.items()}
    result["idle"] = idle
    result["loadAverage"] = os.getloadavg()[0]
    return result


def stop(processes):
    for process in reversed(processes):
        if process.poll() is None:
            process.send_signal(signal.SIGTERM)
    for process in processes:
        try:
            process.wait(timeout=10)
        except subprocess.TimeoutExpired:
            process.kill()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--rate", type=int, default=500, help="calls per second of each way")
    parser.add_argument("--seconds", type=int, default=10)
    parser.add_argument("--idle", type=int, default=5, help="seconds without calls")
    options = parser.parse_args()
    processes = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            result = measure(options.build, folder, options, processes)
        finally:
            stop(processes)
    print(json.dumps(result, indent=2))
    return 0 if result["target"]["held"] else 1


if __name__ == "__main__":
    sys.exit(main())
