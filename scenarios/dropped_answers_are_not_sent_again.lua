-- Engines run requests but their answers are lost: clients get an error, and no request runs twice.
for n = 0, 1 do daemon { name = "d" .. n } end
engine { name = "e1", services = { "reference-checks" }, slots = 8 }
engine { name = "e2", services = { "reference-checks" }, slots = 8 }
load { user = "daejeon", only = { "reference-checks" }, count = 80, rate = 40, streams = 0 }
drop_answers { endpoint = "e1", at = 0.5, lasts = 0.7 }
drop_answers { endpoint = "e2", at = 0.5, lasts = 0.7 }
expect { outcome = "lost", most = 0 }
expect { outcome = "LB-5002", least = 5 }
