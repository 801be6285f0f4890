-- An engine announces that it is leaving: within seconds it gets no new requests, and the other engine serves all.
for n = 0, 2 do daemon { name = "d" .. n } end
engine { name = "stays", services = { "reference-checks" }, slots = 16 }
engine { name = "leaves", services = { "reference-checks" }, slots = 16 }
load { user = "daejeon", only = { "reference-checks" }, count = 200, rate = 25 }
leave { endpoint = "leaves", at = 0.5 }
expect { outcome = "answered", least = 200 }
expect { dispatches_to = "stays", least = 50 }
