"""A leave that was acknowledged while the store was down is forgotten when all processes are killed."""
import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
from fleet import ACK_SECONDS, Fleet, TROUBLE, run_case  # noqa: E402

DRAIN_SECONDS = 2.5  # Bound "drain" of the site.
STABLE_SECONDS = 3.0  # Bound "stable_window" of the site.
STORE_DOWN_SECONDS = 3.0
HEARTBEAT_DELAY_SECONDS = 4.0
RESTART_SECONDS = 0.4
SERVES_ON_SECONDS = 9.0


def make_fleet():
    fleet = Fleet(HERE, ["books", "charts"] * 3, [{"prefix": "/books/", "route_type": "safe", "service": "books"},
                                                 {"prefix": "/charts/", "route_type": "safe", "service": "charts"}])
    for machine in fleet.machines:  # Together the workers of a service are nearly full, so that each gets requests.
        machine.worker.slots = 10
        machine.worker.work_seconds = 0.2
    return fleet


async def late_heartbeat(fleet, worker):
    """A heartbeat that is under way for some seconds."""
    target, body = worker.heartbeat()
    fleet.record.write(f"{worker.id} sends heartbeat {worker.sequence} (ready), which is delayed")
    await asyncio.sleep(HEARTBEAT_DELAY_SECONDS)
    acknowledged = await worker.post(target, body)
    fleet.record.write(f"the delayed heartbeat arrives; acknowledged: {acknowledged}")


async def play(fleet):
    record = fleet.record
    start = record.now()
    for machine in fleet.machines:
        fleet.spawn(fleet.traffic(machine, "GET", "/books/x", 2000, 0.05, start + 13))
    await asyncio.sleep(2)

    disturbed_until = record.now()
    if TROUBLE:
        record.write("the store is down")
        fleet.store.set_down(True)
        down_since = record.now()
    worker = fleet.machines[0].worker
    await asyncio.sleep(0.6)
    worker.reports = False
    fleet.spawn(late_heartbeat(fleet, worker))
    await asyncio.sleep(ACK_SECONDS / 2)
    acknowledged = await worker.deregister()
    acknowledged_at = record.now()
    record.write(f"{worker.id} deregisters; acknowledged: {acknowledged}")

    if TROUBLE:
        await asyncio.sleep(0.2)
        await asyncio.gather(*(m.stop(signal.SIGKILL) for m in fleet.machines))
        await asyncio.sleep(RESTART_SECONDS)
        await asyncio.gather(*(m.launch() for m in fleet.machines))
        await asyncio.sleep(max(0.0, down_since + STORE_DOWN_SECONDS - record.now()))
        fleet.store.set_down(False)
        record.write("the store is back")
        disturbed_until = record.now()
    await asyncio.sleep(acknowledged_at + SERVES_ON_SECONDS - record.now())
    await worker.end()
    record.write(f"{worker.id} exits")
    if not acknowledged:
        return []

    in_touch_from = disturbed_until + STABLE_SECONDS
    late = [(at, request) for at, request in worker.arrivals
            if at > acknowledged_at + DRAIN_SECONDS and fleet.answers.get(request, (at, ""))[0] > in_touch_from]
    if late:
        return [f"DRAIN: {len(late)} requests that were sent after {in_touch_from:.1f} reached {worker.id}, whose leave "
                f"was acknowledged at {acknowledged_at:.1f}; the first at {late[0][0]:.1f}"]
    return []


run_case(make_fleet, play)
