-- The journal sends most corrections twice with the same key: each is recorded once.
for n = 0, 2 do daemon { name = "d" .. n } end
platform {}
service { name = "journal", services = { "corrections", "manuscript-status" } }
load { user = "daejeon", only = { "corrections", "manuscript-status" }, count = 100, rate = 60, resend = 0.7 }
expect { outcome = "lost", most = 0 }
expect { outcome = "answered", service = "corrections", least = 20 }
expect { outcome = "answered", service = "manuscript-status", least = 20 }
