package org.plantainferry.cli;

/** Lists the forms of output. */
enum OutputFormat {
    /** Text for people. */
    HUMAN,
    /** One JSON object on one line. */
    JSON
}
