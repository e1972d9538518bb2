/// @file
/// Reads a document from a directory with `root.yaml` and one `NAME.yaml` per section.
#pragma once

#include <bergamotglade/detail/config/store.hpp>

#include <string>

namespace bergamotglade {

/// A document read from files, with the findings of all files.
struct DocumentFiles
{
    ChangeBatch batch;
    Findings findings;
    bool readable = true; ///< false if the root file could not be read
};

/// @brief Reads and validates a whole document.
/// @param directory contains root.yaml and the sections that it lists
/// @return the texts and all findings, including those across sections
/// @complexity linear in the text
[[nodiscard]] DocumentFiles readDocument(const std::string &directory);

} // namespace bergamotglade
