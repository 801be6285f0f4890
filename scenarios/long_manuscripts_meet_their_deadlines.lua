-- Editors send manuscripts of very different lengths: each gets a complete answer before its deadline.
for n = 0, 2 do daemon { name = "d" .. n } end
engine { name = "slow", services = { "line-edits" }, slots = 4, prefill_tokens_per_second = 10000 }
engine { name = "fast", services = { "line-edits" }, slots = 16, prefill_tokens_per_second = 40000 }
load { user = "daejeon", only = { "line-edits" }, count = 60, rate = 30 }
expect { goodput_of = "editing", least = 1 }
expect { wasted_prefill = true, most = 0.02 }
