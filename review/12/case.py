"""A worker that started again under its id leaves after its node was restarted; a heartbeat is late."""

import json
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-3"))
from kit3 import (CannotRun, Node, Server, Store, call, config, header, read_body, read_head,
                  response, run_case)

SERVICE = "huvo11a"
FRONT = "lovo22d"
BEAT_S = 1.5        # heartbeat_ms of the site file
DRAIN_S = 2.0       # bounds of the site file
CONTACT_S = 3.0
RESTART_S = 0.5     # between the end of the node and its next start


class Worker(Server):
    """A worker that sends DELETE first when it leaves, and serves on for a while."""

    def __init__(self, host, number, service, record):
        self.id = f"i-{number:08x}"
        self.service, self.record = service, record
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.beating = True
        self.up = True
        self.runs = []
        super().__init__((host, 0))

    def serve(self, conn):
        stream = conn.makefile("rb")
        while True:
            head = read_head(stream)
            if head is None:
                return
            first, headers = head
            read_body(stream, headers)
            if not self.up:
                return
            if " /healthz " in first:
                conn.sendall(response("200 OK", [("Almondsail-Instance-Id", self.id)]))
                continue
            if header(headers, "almondsail-expected-instance") not in (None, self.id):
                conn.sendall(response("421 Misdirected Request",
                                      [("Almondsail-Instance-Id", self.id)]))
                continue
            attempt = header(headers, "almondsail-attempt-id") or "-"
            self.runs.append((time.monotonic(), attempt))
            self.record.write(f"{self.id} runs {attempt}")
            time.sleep(0.02)
            conn.sendall(response("200 OK", [("Almondsail-Attempt-Id", attempt),
                                             ("Almondsail-Server-Signature", f"s.{self.id}")], b"ok"))

    def heartbeat(self):
        """Returns the next heartbeat, to be sent now or to arrive late."""
        self.sequence += 1
        return json.dumps({
            "address": f"{self.address[0]}:{self.address[1]}", "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": "zone-a", "capacity": 12},
            "status": {"state": "ready", "sequence": self.sequence,
                       "cold_remaining_ms": 0}}).encode()

    def send(self, node, beat, note=""):
        sequence = json.loads(beat)["status"]["sequence"]
        try:
            status = call(node.announcements, "PUT", f"/almondsail/instances/{self.id}",
                          [("Content-Type", "application/json")], beat, 1)[0]
        except OSError as problem:
            status = type(problem).__name__
        self.record.write(f"{self.id} heartbeat {sequence}{note}: {status}")
        return status

    def announce(self, node):
        def run():
            while self.beating:
                self.send(node, self.heartbeat())
                time.sleep(BEAT_S)
        threading.Thread(target=run, daemon=True).start()

    def leave(self, node):
        """Sends DELETE, as the example of PROTOCOL.md shows it. Returns whether it is acknowledged."""
        try:
            status = call(node.announcements, "DELETE", f"/almondsail/instances/{self.id}", timeout=1)[0]
        except OSError as problem:
            status = type(problem).__name__
        self.record.write(f"{self.id} leaves: {status}")
        return status == 200

    def start_again(self):
        self.up = True
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.record.write(f"{self.id} starts again, born {self.born}")


def case(record, folder, trouble, processes):
    store = Store()
    route = ("r-1", "hulo84.example", "/leny950/", "safe", SERVICE, {})
    store.operator_put("op/config", config(1, [SERVICE, FRONT], [route]))
    machines = []
    for number, service in enumerate((FRONT, SERVICE, SERVICE), 1):
        host = f"127.0.0.{number + 10}"
        worker = Worker(host, number, service, record)
        node = Node(folder, host, store.address, worker.address, service, f"side-{number}", record)
        processes.append(node)
        node.start()
        machines.append((node, worker))
    for node, worker in machines:
        node.wait_ready()
    time.sleep(4)
    for _, worker in machines:  # they start after their nodes
        worker.born = int(time.time() * 1000)
    (front, front_worker), (node, leaving), (other, staying) = machines
    front_worker.announce(front)
    staying.announce(other)

    def beats(count):
        for _ in range(count):
            if leaving.send(node, leaving.heartbeat()) != 200:
                raise CannotRun("a heartbeat wasn't acknowledged")
            time.sleep(BEAT_S)

    stop = threading.Event()
    answers = {}

    def client():
        count = 0
        while not stop.is_set():
            count += 1
            attempt = f"{count:016x}"
            try:
                result = call(front.callers, "GET", "/leny950/2f",
                              [("Host", "hulo84.example"), ("Almondsail-Attempt-Id", attempt),
                               ("Almondsail-Deadline-Ms", "500")], timeout=2)[0]
            except OSError as problem:
                result = type(problem).__name__
            answers[result] = answers.get(result, 0) + 1
            record.write(f"client {attempt}: {result}")
            stop.wait(0.03)

    threading.Thread(target=client, daemon=True).start()
    # The worker is restarted: it leaves, serves on, ends, and starts again under its id.
    beats(2)
    if not leaving.leave(node):
        raise CannotRun("the first leaving wasn't acknowledged")
    time.sleep(DRAIN_S + 1)
    leaving.up = False
    time.sleep(1)
    leaving.start_again()
    beats(4)
    # A heartbeat is under way and will arrive seconds late.
    late = leaving.heartbeat()
    # The node is stopped and started again on its own; its worker continues running.
    undisturbed = 0.0
    if trouble:
        record.write("the node gets SIGTERM")
        node.end(signal.SIGTERM)
        time.sleep(RESTART_S)
        node.start()
        node.wait_ready()
        undisturbed = time.monotonic()
        record.write("the node is ready again")
    # The worker leaves before its next heartbeat.
    for _ in range(20):
        if leaving.leave(node):
            break
        time.sleep(0.2)
    else:
        raise CannotRun("the leaving wasn't acknowledged")
    acknowledged = time.monotonic()
    time.sleep(2.5)
    leaving.send(node, late, " arrives late")
    time.sleep(9)
    stop.set()
    time.sleep(1)
    bound = max(acknowledged + DRAIN_S, undisturbed + CONTACT_S)
    wrong = [at for at, _ in leaving.runs if at > bound]
    served = sum(at > bound for at, _ in staying.runs)
    last = max((at for at, _ in leaving.runs), default=acknowledged) - acknowledged
    text = (f"{len(wrong)} requests reached {leaving.id} later than drain_ms, at machines in touch; the "
            f"last one {last:.2f} s after the acknowledgement ({served} reached the other worker)")
    record.write(f"answers of clients: {answers}")
    record.write(text)
    print(text, answers)
    return 1 if wrong else 0


run_case(os.path.dirname(os.path.abspath(__file__)), case)
