-- The booking application reserves lots but its answers are lost: no reservation is made twice.
for n = 0, 1 do daemon { name = "d" .. n } end
platform {}
service { name = "booking", services = { "lot-booking", "lot-checks" } }
load { user = "cooperative", only = { "lot-booking", "lot-checks" }, count = 100, rate = 50, resend = 0.5 }
drop_answers { endpoint = "booking", at = 0.5, lasts = 0.5 }
expect { outcome = "lost", most = 0 }
expect { outcome = "answered", service = "lot-checks", least = 20 }
