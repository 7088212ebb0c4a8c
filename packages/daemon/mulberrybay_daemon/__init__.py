"""The node program of mulberrybay, built from the other packages."""
