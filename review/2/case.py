"""A worker leaves, its node is restarted as planned, and a heartbeat that the worker sent before arrives late."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import deployment as d  # noqa: E402

DRAIN = 2.5
# The delayed heartbeat is older than the leaving by its sequence.
HEARTBEAT_DELAY = 4.5
SERVES_ON = 12.0
CLIENTS = 10


async def play(deployment, trouble):
    record = deployment.record
    first = deployment.add_node("n1", "desk", work_seconds=0.3)
    deployment.add_node("n2", "desk", work_seconds=0.3)
    other = deployment.add_node("n3", "berths", zone="zone-1")
    await deployment.start()
    deployment.publish(1, ["desk", "berths"],
                       [d.rule("book", "/book/", "unsafe", "desk", timeout="1500ms", target="4000ms", priority=2)])
    await deployment.settle()

    sent = {}  # Request id -> (seconds, status).

    async def client():
        while True:
            request, at, status, _ = await deployment.request(other, "/book/1", "POST", b"one berth")
            sent[request] = (at, status)
            await asyncio.sleep(0.05)

    deployment.tasks += [asyncio.create_task(client()) for _ in range(CLIENTS)]
    await asyncio.sleep(1.5)
    worker = first.worker
    if not worker.runs:
        raise d.CannotRun("the worker got no request before it left")

    # The last heartbeat before the leaving is on its way and arrives HEARTBEAT_DELAY later.
    worker.beating = False
    late = worker.heartbeat()
    await asyncio.sleep(0.1)
    if not await worker.deregister():
        raise d.CannotRun("the leaving was not acknowledged")
    left = record.now()
    await asyncio.sleep(0.3)
    if trouble:
        await first.terminate()
        await asyncio.sleep(0.3)
        await first.launch()
    await asyncio.sleep(max(0.0, left + HEARTBEAT_DELAY - record.now()))
    record.say(f"the delayed heartbeat with sequence {late['sequence']} arrives")
    await worker.send_heartbeat(late)
    await asyncio.sleep(max(0.0, left + SERVES_ON - record.now()))
    await worker.end()
    exited = record.now()
    record.say("the worker has exited")
    await asyncio.sleep(2.0)

    # Judged is what was sent while every machine on the way was in touch: the one of the client all the time, the
    # restarted one from the stable window after its start.
    judged_from = max(left + DRAIN, first.started + d.STABLE_WINDOW)
    delivered = [request for request, at, _ in worker.runs
                 if at > judged_from and request in sent and sent[request][0] > judged_from]
    lost = [request for request in delivered if sent[request][1] not in ("200",)]
    record.say(f"the leaving was acknowledged at {left:.3f}, the worker exited at {exited:.3f}; requests sent after "
               f"{judged_from:.3f} that it ran: {len(delivered)}, of these without their answer: {len(lost)}")
    if not delivered:
        return ""
    return f"{len(delivered)} requests reached the worker later than {DRAIN} s after its leaving was acknowledged"


d.main(FOLDER, play)
