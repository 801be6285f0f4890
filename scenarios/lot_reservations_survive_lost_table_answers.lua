-- The table accepts claims but loses answers, then has an outage: no lot is reserved twice and no request is lost.
for n = 0, 2 do daemon { name = "d" .. n } end
platform {}
service { name = "booking", services = { "lot-booking", "lot-checks" } }
load { user = "cooperative", only = { "lot-booking", "lot-checks" }, count = 100, rate = 40, resend = 0.5 }
lose_store_answers { count = 5, at = 0.5 }
store_outage { at = 1.2, lasts = 0.5 }
expect { outcome = "lost", most = 0 }
expect { outcome = "answered", service = "lot-checks", least = 20 }
expect { outcome = "answered", service = "lot-booking", least = 20 }
