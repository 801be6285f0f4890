// One call to the platform's store.
#include "StoreReader.h"

#include "lentilbay/Http/ClientConnection.h"
#include "lentilbay/platform/Documents.h"
#include "lentilbay/platform/StoreCalls.h"

#include <algorithm>
#include <fmt/format.h>

namespace lentilbay {
namespace {

/// As much of a response as a daemon reads.
constexpr size_t maxResponseBytes = 8'388'608;

/// What has been received of the store's response.
struct Response {
    int status = 0;
    uint64_t era = 0;
    std::string body;
    bool isComplete = false;
    std::string failure = "timed out";
};

void call(asio::io_context& context, const platform::Address& store, Duration timeout, Response& out)
{
    const auto connection = std::make_shared<http::ClientConnection>(context);
    const auto end = [&out, &context](std::string failure) {
        out.failure = std::move(failure);
        context.stop();
    };
    std::error_code ec;
    const asio::ip::tcp::endpoint address(asio::ip::make_address(store.host, ec), store.port);
    connection->connect(address, timeout, [&, end, connection](bool isConnected) {
        if (!isConnected) {
            end("could not connect");
            return;
        }
        const auto host = fmt::format("{}:{}", store.host, store.port);
        connection->exchange(
            platform::readRowRequest(host, platform::configurationTable, platform::configurationKey), false,
            { .head =
                    [&](const http::HttpResponseHead& head) {
                        out.status = head.status;
                        out.era = platform::decodeStoreEra(head.headers).value_or(0);
                        return true;
                    },
                .body =
                    [&, end](std::string_view piece) {
                        if (out.body.size() + piece.size() > maxResponseBytes)
                            end("the response is too long");
                        else
                            out.body += piece;
                    },
                .complete =
                    [&, end] {
                        out.isComplete = true;
                        end({});
                    },
                .failed =
                    [end](http::FailurePoint) {
                        end("the connection was closed before the response was complete");
                    } });
    });
    context.run_for(timeout);
    connection->close();
}

} // namespace

Result<std::string> readConfigurationFromStore(const platform::Address& store, Duration timeout)
{
    asio::io_context context;
    Response response;
    call(context, store, timeout, response);
    if (!response.isComplete)
        return fail(ResultCode::PlatformAnswerInvalid, response.failure);
    if (response.status != 200)
        return fail(ResultCode::PlatformAnswerInvalid, fmt::format("status {}", response.status));
    BOOST_LEAF_AUTO(rows, platform::decodeRows(response.body, response.era));
    const auto row = std::ranges::find(rows.rows, platform::configurationKey, &platform::StoreRow::key);
    if (row == rows.rows.end() || row->isDeleted)
        return fail(ResultCode::PlatformAnswerInvalid, "the store has no configuration");
    return row->value;
}

} // namespace lentilbay
