package org.plantainferry.cli;

/**
 * Describes how one part of the configuration differs between two versions.
 *
 * @param kind {@code added}, {@code changed} or {@code withdrawn}
 * @param part what it is, as {@code workspace}
 * @param name its name; for a key, workspace and name with a slash between them
 * @param detail its content, or what changed in it; empty for a withdrawn part or a key
 */
record PartDifference(String kind, String part, String name, String detail) {
    String toLine() {
        String sign = kind.equals("added") ? "+" : kind.equals("withdrawn") ? "-" : "~";
        return (sign + " " + part + " " + name + " " + detail).stripTrailing();
    }
}
