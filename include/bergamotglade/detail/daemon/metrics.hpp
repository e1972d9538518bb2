/// @file
/// Metrics in the Prometheus text format. Values are read when they are scraped.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace bergamotglade {

/// Registry of the metrics of one process.
class Metrics
{
public:
    using Reader = std::function<double()>;

    /// @brief Registers a counter.
    /// @param name without the prefix `bergamotglade_` and the suffix `_total`
    /// @param help one line of description
    /// @param read called at each scrape
    void addCounter(std::string name, std::string help, Reader read);
    /// @brief Registers a counter by reference.
    /// @param value must outlive the registry
    void addCounterRef(std::string name, std::string help, const std::uint64_t &value);
    /// @brief Registers a gauge. Parameters as addCounter(), but the name gets no suffix.
    void addGauge(std::string name, std::string help, Reader read);

    /// @brief Serializes all metrics for a scrape.
    [[nodiscard]] std::string serialize() const;
    /// Current value of one metric.
    struct Sample
    {
        std::string name;
        double value = 0;
    };
    /// @brief Reads all metrics; names are without prefix and suffix.
    [[nodiscard]] std::vector<Sample> samples() const;

private:
    struct Metric
    {
        std::string name;
        std::string help;
        bool isCounter = false;
        Reader read;
    };

    std::vector<Metric> m_metrics;
};

} // namespace bergamotglade
