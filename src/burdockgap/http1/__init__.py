"""HTTP/1.1 connections of the data path, over a C parser."""
