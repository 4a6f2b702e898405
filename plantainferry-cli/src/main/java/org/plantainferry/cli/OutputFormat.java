package org.plantainferry.cli;

/** Lists the output formats. */
enum OutputFormat {
    /** Text for human readers. */
    HUMAN,
    /** One JSON object on one line. */
    JSON
}
