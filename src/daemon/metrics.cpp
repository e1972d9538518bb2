#include <bergamotglade/detail/daemon/metrics.hpp>

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace bergamotglade {

void Metrics::addCounter(std::string name, std::string help, Reader read)
{
    m_metrics.push_back({std::move(name), std::move(help), true, std::move(read)});
}

void Metrics::addCounterRef(std::string name, std::string help, const std::uint64_t &value)
{
    addCounter(std::move(name), std::move(help), [&value] { return static_cast<double>(value); });
}

void Metrics::addGauge(std::string name, std::string help, Reader read)
{
    m_metrics.push_back({std::move(name), std::move(help), false, std::move(read)});
}

std::string Metrics::serialize() const
{
    std::vector<prometheus::MetricFamily> families;
    for (const Metric &metric : m_metrics) {
        prometheus::MetricFamily family;
        family.name = "bergamotglade_" + metric.name + (metric.isCounter ? "_total" : "");
        family.help = metric.help;
        family.type =
            metric.isCounter ? prometheus::MetricType::Counter : prometheus::MetricType::Gauge;
        prometheus::ClientMetric sample;
        sample.counter.value = metric.read();
        sample.gauge.value = sample.counter.value;
        family.metric.push_back(sample);
        families.push_back(std::move(family));
    }
    return prometheus::TextSerializer().Serialize(families);
}

std::vector<Metrics::Sample> Metrics::samples() const
{
    std::vector<Sample> result;
    result.reserve(m_metrics.size());
    for (const Metric &metric : m_metrics) {
        result.push_back({metric.name, metric.read()});
    }
    return result;
}

} // namespace bergamotglade
