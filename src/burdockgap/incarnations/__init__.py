"""Which process of a target is at the end of a connection.

Pure decisions, without network or clock; times come in as arguments.
"""
