-- All engines of one model leave: its requests are refused, and requests for the other model are served.
for n = 0, 1 do daemon { name = "d" .. n } end
engine { name = "editor", services = { "line-edits" }, slots = 8 }
engine { name = "checker", services = { "reference-checks" }, slots = 8 }
load { user = "daejeon", only = { "reference-checks" }, count = 60, rate = 20 }
load { user = "daejeon", only = { "line-edits" }, count = 20, rate = 5, seed = 2, deadline_scale = 0.002, from = 4 }
leave { endpoint = "editor", at = 0 }
expect { outcome = "answered", service = "reference-checks", least = 60 }
expect { outcome = "refused", service = "line-edits", least = 20 }
