"""A small site of real processes on loopback, for demos and tests."""

from __future__ import annotations

from standins.cluster.cluster import Cluster, open_cluster
from standins.cluster.launch import Launch
from standins.cluster.server import Server
from standins.cluster.server_plan import ServerPlan

__all__ = ["Cluster", "Launch", "Server", "ServerPlan", "open_cluster"]
