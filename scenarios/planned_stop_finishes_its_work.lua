-- A daemon is stopped with requests running and waiting: each is finished or refused as not run.
for n = 0, 2 do daemon { name = "d" .. n } end
engine { name = "e1", services = { "line-edits" }, slots = 4 }
engine { name = "e2", services = { "line-edits" }, slots = 4 }
load { user = "daejeon", only = { "line-edits" }, count = 30, rate = 60, daemons = { "d0" } }
load { user = "daejeon", only = { "line-edits" }, count = 30, rate = 20, seed = 2, daemons = { "d1", "d2" } }
stop { daemon = "d0", at = 0.6 }
expect { outcome = "lost", most = 0 }
expect { outcome = "answered", least = 55 }
