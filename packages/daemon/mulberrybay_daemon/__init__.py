"""The node program of mulberrybay, which joins the other packages."""
