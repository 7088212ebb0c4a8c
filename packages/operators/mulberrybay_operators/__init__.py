"""The administration API of mulberrybay and its command line."""
