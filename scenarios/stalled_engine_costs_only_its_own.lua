-- An engine stalls with requests running and resumes later: no request is dispatched a second time.
for n = 0, 1 do daemon { name = "d" .. n } end
engine { name = "e1", services = { "reference-checks" }, slots = 8 }
engine { name = "e2", services = { "reference-checks" }, slots = 8 }
load { user = "daejeon", only = { "reference-checks" }, count = 100, rate = 40 }
stall { endpoint = "e1", at = 0.5, lasts = 2 }
expect { outcome = "lost", most = 0 }
expect { outcome = "answered", least = 90 }
