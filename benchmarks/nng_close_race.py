"""Reproduce a crash of pynng when sockets close while others send.

`python -m benchmarks.nng_close_race SECONDS SEED` sends without blocking to
pull sockets of the same process that close and listen again. It needs no
code of this project and is run by hand; exit code 139 is a crash in the
native library.
"""

from __future__ import annotations

import faulthandler
import random
import sys
import threading
import time

import pynng

PEERS = 3
PAUSE_S = 0.0002
MAX_SOCKET_LIFE_S = 0.05
MAX_BYTES = 60_000
RECONNECT_MS = 20


def receive_until_closed(inbox: pynng.Pull0) -> None:
    """Receive until the socket is closed."""
    try:
        while True:
            inbox.recv()
    except pynng.Closed:
        return


def restart_peer(port: int, until: float, rng: random.Random) -> None:
    """Open, read and close a listening socket repeatedly."""
    while time.monotonic() < until:
        inbox = pynng.Pull0()
        try:
            inbox.listen(f'tcp://127.0.0.1:{port}')
        except pynng.NNGException:
            inbox.close()
            time.sleep(PAUSE_S)
            continue
        reader = threading.Thread(
            target=receive_until_closed, args=(inbox,), daemon=True
        )
        reader.start()
        time.sleep(rng.uniform(0, MAX_SOCKET_LIFE_S))
        inbox.close()
        reader.join()


def main(seconds: float, seed: int) -> None:
    """Send for some seconds and print the number of messages sent."""
    faulthandler.enable()
    rng = random.Random(seed)
    until = time.monotonic() + seconds
    first_port = rng.randrange(20_000, 30_000)
    outgoing = []
    for port in range(first_port, first_port + PEERS):
        threading.Thread(
            target=restart_peer,
            args=(port, until, random.Random(port)),
            daemon=True,
        ).start()
        socket = pynng.Push0(
            reconnect_time_min=RECONNECT_MS,
            reconnect_time_max=RECONNECT_MS,
        )
        socket.dial(f'tcp://127.0.0.1:{port}', block=False)
        outgoing.append(socket)
    sent = 0
    while time.monotonic() < until:
        frame = b'x' * rng.randrange(MAX_BYTES)
        try:
            rng.choice(outgoing).send(frame, block=False)
        except pynng.TryAgain:
            time.sleep(PAUSE_S)
        else:
            sent += 1
        time.sleep(PAUSE_S)
    print(f'{sent} messages in {seconds} s, no crash')


if __name__ == '__main__':
    main(float(sys.argv[1]), int(sys.argv[2]))
