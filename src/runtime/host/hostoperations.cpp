// Operator requests and changed settings.

#include "runtime/host/hostdaemonimpl.h"

namespace egrettide
{

namespace asio = boost::asio;

// Operators.

void HostDaemon::Impl::handleOperator(const OperatorRequest &request, const OperatorResponder &respond)
{
    const auto now = routes();
    if (request.path == "/health") {
        respond(OperatorResponse{200, "application/json", R"({"status":"ok"})"});
    } else if (request.path == "/ready" || request.path == m_settings.readyPath) {
        const bool ready = now->configuration != nullptr && !m_leaving && !m_partition->isCutOff();
        m_partition->onReadinessReported(ready);
        respond(OperatorResponse{ready ? 200U : 503U, "application/json", ready ? R"({"ready":true})" : R"({"ready":false})"});
    } else if (request.path == "/metrics") {
        respondMetrics(respond);
    } else if (request.path == "/status") {
        // The view of the routes is replaced only when hosts join or leave, not when one of them
        // applies a configuration. With it, the status would keep showing outdated versions.
        const auto view = m_membership->view();
        const HostIdentity self{m_settings.host, m_settings.zone, m_leaving};
        respond(OperatorResponse{200, "application/json",
                                 statusDocument(self, *view, now->configuration.get(), *m_homes)
                                     .dump(2, ' ', false, nlohmann::json::error_handler_t::replace)});
    } else if (request.path == "/drain" && request.method == "POST") {
        respond(OperatorResponse{202, "application/json", R"({"draining":true})"});
        beginStop();
    } else if (request.path == "/switchover" && request.method == "POST") {
        m_switchovers->onOperator(request.body, respond);
    } else {
        respond(OperatorResponse{
            404, "application/json",
            R"({"error":"invalid_input","message":"No such command; see docs/OPERATIONS.md.","retryAfterMs":0})"});
    }
}

void HostDaemon::Impl::respondMetrics(const OperatorResponder &respond)
{
    m_homes->stats([this, respond](const std::vector<UpstreamHomeStats> &homes) {
        const auto now = routes();
        MetricsRegistry gauges;
        addStoreMetrics(gauges, m_store->callCounts());
        gauges.set("store_epoch", {}, static_cast<double>(m_configurationSource->storeEpoch()));
        addLogMetrics(gauges);
        addHomeMetrics(gauges, homes);
        gauges.set("callers", {}, static_cast<double>(m_front->openConnections()));
        gauges.set("configuration_version", {}, static_cast<double>(now->configuration ? now->configuration->version : 0));
        gauges.set("hosts_live", {}, static_cast<double>(now->view->placementHosts().size()));
        gauges.set("control_cpu_seconds", {}, threadCpuSeconds());
        // The links are used by their own thread only.
        asio::post(m_link, [this, gauges, respond]() mutable {
            addPeerMetrics(gauges, m_network->traffic(), m_network->linkCount());
            respond(OperatorResponse{200, "text/plain; version=0.0.4", m_metrics.render(gauges)});
        });
    });
}

// Changed settings.

void HostDaemon::Impl::reload(const Settings &next)
{
    asio::post(m_control, [this, next] {
        const SettingsDifference difference = differenceBetween(m_settings, next);
        for (const std::string &name : difference.applied) {
            log::info("setting_applied", {{"setting", name}});
        }
        for (const std::string &name : difference.needRestart) {
            log::warning("setting_needs_restart", {{"setting", name}});
        }
        applyLive(m_settings, next);
        log::setLevel(log::levelNamed(m_settings.logLevel));
        // Their format was validated with the file.
        if (const auto store = parseEndpoint(m_settings.platformAddress)) {
            m_store->moveTo(*store);
        }
        const auto orders = parseEndpoint(m_settings.ordersAddress);
        if (orders && m_dialect->moveOrders) {
            m_dialect->moveOrders(*orders);
        }
        log::info("settings_reloaded",
                  {{"applied", static_cast<int>(difference.applied.size())},
                   {"need_restart", static_cast<int>(difference.needRestart.size())}});
    });
}

} // namespace egrettide
