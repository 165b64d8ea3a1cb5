"""Datagrams between lease holders, witnesses and successors."""
