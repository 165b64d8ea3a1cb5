"""Processes at one address as they are, and what a daemon learns."""

from __future__ import annotations

from burdockgap.incarnations.process_evidence import ProcessEvidence
from burdockgap.incarnations.token_ledger import TokenLedger


class Connection:
    """A connection, and the number of the process that it leads to."""

    def __init__(self, number, process):
        self.number = number
        self.process = process


class AddressHistory:
    """
    One address at which processes follow each other.

    Announcements may arrive late, even after a later process started,
    but not out of order of the processes.
    """

    def __init__(self):
        self.evidence = ProcessEvidence()
        self.tokens = TokenLedger()
        self.now = 0.0
        self.running = 1
        self.heard = 0
        self.first_heard_at = 0.0
        self.on_the_way = []
        self.connections = []
        self.sent_to = {}
        self.last_token = 0

    def restart(self):
        """End the running process and start the next one."""
        self.running += 1

    def announce(self):
        """Let the running process send an announcement."""
        self.on_the_way.append((self.now, self.running))

    def deliver(self, index):
        """Let an announcement arrive that is on its way."""
        _, number = self.on_the_way.pop(index % len(self.on_the_way))
        if number < self.heard:
            return
        if number > self.heard:
            self.heard, self.first_heard_at = number, self.now
        self.evidence.announced(number, self.first_heard_at, self.now)

    def connect(self, replaced=None):
        """Open a connection to the running process."""
        process = self.evidence.connected(
            self.now,
            replaced.process.resolved.expected_since if replaced else None,
        )
        conn = Connection(self.running, process)
        self.connections.append(conn)
        return conn

    def grant(self, conn, fence):
        """
        Send a token over a connection if that is allowed.

        :return: whether it was answered.
        """
        if not (
            self.evidence.is_presumed(conn.process)
            and self.tokens.may_send(fence, conn.process)
        ):
            return False
        self.tokens.note_sent(fence, conn.process)
        if conn.number != self.running:
            return False
        self.sent_to.setdefault(fence, set()).add(conn.number)
        self.evidence.answered(conn.process, self.now)
        return True
