"""Routes, services and limits as operators publish them."""
