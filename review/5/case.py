"""A worker leaves while the store turns its node away; the node is killed, and an older heartbeat arrives late."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import deployment as d  # noqa: E402

DRAIN = 2.5
HEARTBEAT_DELAY = 4.5
STORE_AWAY_SECONDS = 4.0
SERVES_ON = 13.0
CLIENTS = 10


async def play(deployment, trouble):
    record = deployment.record
    first = deployment.add_node("n1", "desk", work_seconds=0.3)
    deployment.add_node("n2", "desk", work_seconds=0.3)
    other = deployment.add_node("n3", "berths")
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
    if trouble:
        first.to_store.turn_away(True)
        record.say("the store answers 503 to n1")
    away = record.now()
    await asyncio.sleep(0.5)
    if not await worker.deregister():
        raise d.CannotRun("the leaving was not acknowledged")
    left = record.now()
    await asyncio.sleep(0.5)
    if trouble:
        await first.kill()
        await asyncio.sleep(0.3)
        await first.launch()
    await asyncio.sleep(max(0.0, away + STORE_AWAY_SECONDS - record.now()))
    back = record.now()
    if trouble:
        first.to_store.turn_away(False)
        record.say("the store serves n1 again")
    await asyncio.sleep(max(0.0, left + HEARTBEAT_DELAY - record.now()))
    record.say(f"the delayed heartbeat with sequence {late['sequence']} arrives")
    await worker.send_heartbeat(late)
    await asyncio.sleep(max(0.0, left + SERVES_ON - record.now()))
    await worker.end()
    exited = record.now()
    record.say("the worker has exited")
    await asyncio.sleep(2.0)

    # All machines on the way are in touch again from the stable window after the start and the store's return on.
    judged_from = max(left + DRAIN, first.started + d.STABLE_WINDOW, back + d.STABLE_WINDOW)
    delivered = [request for request, at, _ in worker.runs
                 if at > judged_from and request in sent and sent[request][0] > judged_from]
    lost = [request for request in delivered if sent[request][1] != "200"]
    record.say(f"the leaving was acknowledged at {left:.3f}, the worker exited at {exited:.3f}; requests sent after "
               f"{judged_from:.3f} that it ran: {len(delivered)}, of these without their answer: {len(lost)}")
    if not delivered:
        return ""
    return f"{len(delivered)} requests reached the worker later than {DRAIN} s after its leaving was acknowledged"


d.main(FOLDER, play)
