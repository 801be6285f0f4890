-- An engine breaks each stream after some tokens: the streams are resumed, and clients get one complete answer.
for n = 0, 1 do daemon { name = "d" .. n } end
engine { name = "e1", services = { "reference-checks" }, slots = 8 }
load { user = "daejeon", only = { "reference-checks" }, count = 60, rate = 30, streams = 1 }
break_streams { endpoint = "e1", after_tokens = 2, at = 0 }
expect { outcome = "answered", least = 60 }
