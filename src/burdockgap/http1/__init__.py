"""HTTP/1.1 connections of the data path, parsed by httptools."""
