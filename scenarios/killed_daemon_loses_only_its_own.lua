-- A daemon is killed with requests open: requests at the other daemons are answered, and none runs twice.
for n = 0, 2 do daemon { name = "d" .. n } end
engine { name = "e1", services = { "line-edits", "reference-checks" }, slots = 8 }
engine { name = "e2", services = { "line-edits", "reference-checks" }, slots = 8 }
load { user = "daejeon", only = { "line-edits", "reference-checks" }, count = 60, rate = 30, daemons = { "d0", "d1" } }
load { user = "daejeon", only = { "reference-checks" }, count = 30, rate = 30, seed = 2, daemons = { "d2" } }
kill { daemon = "d2", at = 0.5 }
expect { outcome = "answered", service = "line-edits", least = 10 }
expect { outcome = "lost", service = "line-edits", most = 0 }
expect { outcome = "lost", least = 1, most = 30 }
