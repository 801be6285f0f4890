-- An engine breaks every connection for a while: requests that were not dispatched go to the other engine.
for n = 0, 1 do daemon { name = "d" .. n } end
engine { name = "e1", services = { "reference-checks" }, slots = 8 }
engine { name = "e2", services = { "reference-checks" }, slots = 8 }
load { user = "daejeon", only = { "reference-checks" }, count = 80, rate = 40 }
outage { endpoint = "e1", at = 0.5, lasts = 1 }
expect { outcome = "lost", most = 0 }
expect { outcome = "answered", least = 60 }
