// Authenticates admin requests and passes them to the registered handlers.
#include "lentilbay/Gateway/AdminServer.h"

#include "lentilbay/Gateway/RequestParser.h"
#include "lentilbay/Support/Secret.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace lentilbay {
namespace {

constexpr std::string_view authenticatedPathPrefix = "/admin";

bool pathMatches(const std::string& page, const std::string& path)
{
    return page.ends_with('/') ? path.starts_with(page) : path == page;
}

void send(CallerChannel& channel, AdminReply reply)
{
    channel.answer({ .status = reply.status,
        .fields = { { "Content-Type", std::move(reply.contentType) } },
        .body = std::make_shared<std::string>(std::move(reply.body)) });
}

} // namespace

AdminReply adminError(ResultCode code, const std::string& detail)
{
    std::string message(rowOf(code).meaning);
    if (!detail.empty())
        message += " " + detail;
    const nlohmann::json body { { "error", { { "code", printed(code) }, { "message", message } } } };
    return { .status = rowOf(code).httpStatus,
        .body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) };
}

AdminServer::AdminServer(asio::io_context& context, AdminOptions options)
    : m_tokenHash(std::move(options.tokenHash))
    , m_server(
          context, std::move(options.server),
          [this](CallerRequest request, std::shared_ptr<CallerChannel> channel) { handle(request, channel); },
          [](ConnectionId) {})
{
}

void AdminServer::add(std::string method, std::string path, Handler handler)
{
    m_pages.push_back(
        { .method = std::move(method), .path = std::move(path), .handler = std::move(handler) });
}

void AdminServer::handle(const CallerRequest& request, const std::shared_ptr<CallerChannel>& channel) const
{
    if (request.path.starts_with(authenticatedPathPrefix) && !isAllowed(request))
        return send(*channel, adminError(ResultCode::AdminTokenRequired));
    const auto* page = find(request);
    if (!page)
        return send(*channel, adminError(ResultCode::UnknownPath));
    if (page->method != request.method)
        return send(*channel, adminError(ResultCode::MethodNotAllowed));
    page->handler(request, [channel](AdminReply reply) { send(*channel, std::move(reply)); });
}

bool AdminServer::isAllowed(const CallerRequest& request) const
{
    const auto key = outcomeOf<std::string>([&] { return parseBearerKey(request); });
    const auto* token = std::get_if<std::string>(&key);
    return token && !m_tokenHash.empty() && keyMatches(*token, m_tokenHash);
}

const AdminServer::Page* AdminServer::find(const CallerRequest& request) const
{
    const Page* best = nullptr;
    for (const auto& page : m_pages) {
        if (!pathMatches(page.path, request.path))
            continue;
        const bool longer = !best || page.path.size() > best->path.size();
        const bool same = best && page.path.size() == best->path.size();
        if (longer || (same && page.method == request.method))
            best = &page;
    }
    return best;
}

} // namespace lentilbay
