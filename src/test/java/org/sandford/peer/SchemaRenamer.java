package org.sandford.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import org.apache.avro.Schema;

/**
 * Copies an Avro schema and changes names in the copy. The new names are given as {@code
 * Type=NewName} and {@code Type.fieldOrSymbol=newName}, by old name; all other names stay.
 */
final class SchemaRenamer {
  private final Properties newNames;
  private final Map<String, Schema> renamed = new HashMap<>();

  SchemaRenamer(Properties newNames) {
    this.newNames = newNames;
  }

  Schema rename(Schema schema) {
    return switch (schema.getType()) {
      case RECORD -> renameRecord(schema);
      case ENUM -> renameEnum(schema);
      case UNION -> Schema.createUnion(schema.getTypes().stream().map(this::rename).toList());
      case ARRAY -> Schema.createArray(rename(schema.getElementType()));
      case MAP -> Schema.createMap(rename(schema.getValueType()));
      default -> schema;
    };
  }

  private Schema renameRecord(Schema schema) {
    Schema alreadyRenamed = renamed.get(schema.getFullName());
    if (alreadyRenamed != null) {
      return alreadyRenamed;
    }
    Schema record =
        Schema.createRecord(newTypeName(schema), null, schema.getNamespace(), schema.isError());
    renamed.put(schema.getFullName(), record);
    record.setFields(
        schema.getFields().stream()
            .map(
                field ->
                    new Schema.Field(newMemberName(schema, field.name()), rename(field.schema())))
            .toList());
    return record;
  }

  private Schema renameEnum(Schema schema) {
    return renamed.computeIfAbsent(
        schema.getFullName(),
        name -> {
          List<String> symbols =
              schema.getEnumSymbols().stream()
                  .map(symbol -> newMemberName(schema, symbol))
                  .toList();
          return Schema.createEnum(newTypeName(schema), null, schema.getNamespace(), symbols);
        });
  }

  private String newTypeName(Schema schema) {
    return newNames.getProperty(schema.getName(), schema.getName());
  }

  private String newMemberName(Schema schema, String name) {
    return newNames.getProperty(schema.getName() + "." + name, name);
  }
}
